package serve

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"rhubarbspread/core/reply"
)

// Headers of responses to callers.
const (
	runStateHeader = "Rhubarbspread-Run-State"
	requestHeader  = "Rhubarbspread-Request"
	replayedHeader = "Rhubarbspread-Replayed"
)

// problem is the JSON form of a refusal (RFC 9457, problem details).
type problem struct {
	Type     string         `json:"type"`
	Title    string         `json:"title"`
	Status   int            `json:"status"`
	Detail   string         `json:"detail"`
	RunState reply.RunState `json:"run-state"`
}

func problemOf(r *reply.Refusal) problem {
	return problem{Type: "about:blank", Title: r.Code(), Status: r.Status(), Detail: r.Detail(), RunState: r.RunState()}
}

// refusalOf returns the refusal that an error wraps. Any other error becomes an internal one, after which the request
// may have run.
func refusalOf(err error) *reply.Refusal {
	var r *reply.Refusal
	if errors.As(err, &r) {
		return r
	}
	return reply.NewRefusal(http.StatusInternalServerError, "internal", err.Error(), reply.WithRunState(reply.MayHaveRun))
}

func writeRefusal(w http.ResponseWriter, r *reply.Refusal) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(runStateHeader, string(r.RunState()))
	if r.RetryAfter() > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter().Seconds()))))
	}
	w.WriteHeader(r.Status())
	_ = json.NewEncoder(w).Encode(problemOf(r))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
