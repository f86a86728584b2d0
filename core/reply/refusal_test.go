package reply

import (
	"net/http"
	"testing"
)

// TestRefusalOfARequestThatMayHaveRunPromisesNothing guards against refusals whose status promises that a request did not run although
// an attempt at it may have.
func TestRefusalOfARequestThatMayHaveRunPromisesNothing(t *testing.T) {
	for status := 400; status < 600; status++ {
		want := status
		switch status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			want = http.StatusBadGateway
		}
		if got := NewRefusal(status, "c", "d", WithRunState(MayHaveRun)).Status(); got != want {
			t.Errorf("%d: a request that may have run is refused with %d, want %d", status, got, want)
		}
		if got := NewRefusal(status, "c", "d").Status(); got != status {
			t.Errorf("%d: a request that has not run is refused with %d", status, got)
		}
	}
}
