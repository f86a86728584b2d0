package serve

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/zeromicro/go-zero/rest"
)

// AdminRoute is one route of the operators' interface.
type AdminRoute struct {
	Method  string
	Path    string
	Handler http.HandlerFunc
}

// Admin returns the operators' interface, all of it behind a bearer key.
func Admin(key string, routes []AdminRoute) (http.Handler, error) {
	server, err := newRest()
	if err != nil {
		return nil, err
	}
	for _, r := range routes {
		server.AddRoute(rest.Route{Method: r.Method, Path: r.Path, Handler: guard(key, r.Handler)})
	}
	return wrap(server)
}

func guard(key string, h http.HandlerFunc) http.HandlerFunc {
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

// JSON answers an operator.
func JSON(w http.ResponseWriter, v any) { writeJSON(w, http.StatusOK, v) }
