package serve

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/zeromicro/go-zero/rest"
)

// AdminRoute is one route of the admin interface.
type AdminRoute struct {
	Method  string
	Path    string
	Handler http.HandlerFunc
}

// NewAdminHandler returns the handler of the admin interface; every route requires the bearer key.
func NewAdminHandler(key string, routes []AdminRoute) (http.Handler, error) {
	server, err := newServer()
	if err != nil {
		return nil, err
	}
	for _, r := range routes {
		server.AddRoute(rest.Route{Method: r.Method, Path: r.Path, Handler: requireKey(key, r.Handler)})
	}
	return newHandler(server)
}

// requireKey makes a handler require the bearer key. It compares hashes in constant time, so that the response time
// reveals nothing about the key.
func requireKey(key string, h http.HandlerFunc) http.HandlerFunc {
	want := sha256.Sum256([]byte(key))
	return func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
		if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			http.Error(w, "the admin key is missing or wrong", http.StatusUnauthorized)
			return
		}
		h(w, r)
	}
}

// JSON writes v as the JSON body of a response with status 200.
func JSON(w http.ResponseWriter, v any) { writeJSON(w, http.StatusOK, v) }
