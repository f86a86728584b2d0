package model

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"rhubarbspread/core/reply"
)

// TestRefusalThatBreaksOffPromisesNothing guards against an engine's refusal that counts as one although its end never arrived.
func TestRefusalThatBreaksOffPromisesNothing(t *testing.T) {
	for _, isCut := range []bool{false, true} {
		var body io.Reader = strings.NewReader(`{"run-state":"not-run"}`)
		if isCut {
			body = io.MultiReader(body, iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		o := outcomeOfStatus(t.Context(), &http.Response{StatusCode: http.StatusServiceUnavailable, Body: io.NopCloser(body)})
		if _, isRefused := o.(reply.Refused); isRefused == isCut {
			t.Errorf("cut %v: outcome %T", isCut, o)
		}
	}
}
