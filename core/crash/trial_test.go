package crash_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/crash"
)

// TestTrialsOfTwoPartsDoNotMeet guards against the quarantine of a sound part, and against more trials of a crashing one, because the
// trials of both run at one upstream: the crashing one breaks off the answer that would acquit the other, time after time.
func TestTrialsOfTwoPartsDoNotMeet(t *testing.T) {
	p, q := part("p"), part("q")
	for _, tc := range []struct {
		sound, crashing crash.Fingerprint
		order           []crash.Fingerprint // of the requests of one instant
	}{{p, q, []crash.Fingerprint{p, q}}, {p, q, []crash.Fingerprint{q, p}}, {q, p, []crash.Fingerprint{p, q}}, {q, p, []crash.Fingerprint{q, p}}} {
		t.Run(fmt.Sprintf("p crashes: %v, p comes first: %v", tc.crashing == p, tc.order[0] == p), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stamp := uint64(0)
				r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour)
				if crashes := tryInOrder(r, tc.sound, tc.crashing, tc.order); crashes > 3 {
					t.Errorf("%d upstreams crashed on trial, want at most 3", crashes)
				}
				if _, ok := r.Verdict(tc.crashing).(crash.Quarantined); !ok {
					t.Error("the crashing part is not in quarantine")
				}
				if _, ok := r.Verdict(tc.sound).(crash.Quarantined); ok {
					t.Error("the sound part is in quarantine")
				}
			})
		})
	}
}

// tryInOrder plays the crash of a whole service under two parts that were answered before, and then requests with one of them each, in
// an order, all of which go to the one upstream with the most room. It returns the number of upstreams that die on trial.
func tryInOrder(r *crash.Registry, sound, crashing crash.Fingerprint, order []crash.Fingerprint) int {
	const answerTime, crashTime, tick, ticks = 1500 * time.Millisecond, 20 * time.Millisecond, 10 * time.Millisecond, 1500
	r.Answered([]crash.Fingerprint{sound, crashing}, r.Stamp(), answerTime)
	play(r, partStep{0, "u", []crash.Fingerprint{sound, crashing}, 6})
	crashes := 0
	sentAt, stamps := make(map[crash.Fingerprint]time.Time), make(map[crash.Fingerprint]uint64)
	for range ticks {
		time.Sleep(tick)
		if at, ok := sentAt[crashing]; ok && time.Since(at) >= crashTime {
			for f, begun := range sentAt {
				r.RecordDeathAt(f, fmt.Sprint("v", crashes), "dc", crash.BrokeBeforeFirstToken, begun, time.Now())
			}
			crashes++
			clear(sentAt)
		}
		if at, ok := sentAt[sound]; ok && time.Since(at) >= answerTime {
			r.Answered([]crash.Fingerprint{sound}, stamps[sound], answerTime)
			delete(sentAt, sound)
		}
		for _, f := range order {
			if _, ok := r.Verdict(f).(crash.Quarantined); !ok && r.Admit([]crash.Fingerprint{f}) == crash.OnTrial {
				sentAt[f], stamps[f] = time.Now(), r.Stamp()
			}
		}
	}
	return crashes
}
