package entry

import (
	"testing"
	"time"
)

func TestListPauseLeavesTimeForACallThatFails(t *testing.T) {
	for _, test := range []struct{ drain, want time.Duration }{
		{3 * time.Second, 1500 * time.Millisecond},
		{10 * time.Second, 5 * time.Second},
		{2400 * time.Millisecond, 900 * time.Millisecond},
		{600 * time.Millisecond, 200 * time.Millisecond}, // too short for any call to fail
	} {
		if got := listPause(test.drain); got != test.want {
			t.Errorf("%v between calls with a bound of %v, wanted %v", got, test.drain, test.want)
		}
	}
}
