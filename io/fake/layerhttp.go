package fake

import (
	"errors"
	"net/http"
)

// Handler returns the layer engine's HTTP API.
func (e *LayerEngine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/steps", e.serveStep)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Load()) })
	return mux
}

func (e *LayerEngine) serveStep(w http.ResponseWriter, r *http.Request) {
	var q StepRequest
	if !readJSON(w, r, &q) {
		return
	}
	answer, err := e.Step(r.Context(), q)
	switch {
	case errors.Is(err, ErrNoState), errors.Is(err, ErrRefused):
		writeRefusal(w)
	case err != nil:
		abortConnection()
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}
