package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/rules"
)

// TestLimitsAreTakenFromOwnAnswersOnly checks which answers set or lift the limit on an upstream's requests.
func TestLimitsAreTakenFromOwnAnswersOnly(t *testing.T) {
	limit := RequestLimit{Stated: true, PerSecond: 100}
	tests := []struct {
		name    string
		before  bool // an earlier answer named a limit
		info    AnswerInfo
		limited bool
	}{
		{"names one", false, AnswerInfo{Sealed: true, RequestLimit: limit}, true},
		{"names none", true, AnswerInfo{Sealed: true}, false},
		{"a refusal that names one", false, AnswerInfo{NotRun: true, RequestLimit: limit}, true},
		{"a refusal that names none", true, AnswerInfo{NotRun: true}, false},
		{"unreadable", true, AnswerInfo{Sealed: true, RequestLimit: RequestLimit{Unreadable: true}}, true},
		{"unreadable without one before", false, AnswerInfo{Sealed: true, RequestLimit: RequestLimit{Unreadable: true}}, false},
		{"an answer to another request names one", false, AnswerInfo{IDMismatch: true, Sealed: true, RequestLimit: limit}, false},
		{"an answer to another request names none", true, AnswerInfo{IDMismatch: true, Sealed: true}, true},
		{"an answer without a seal names none", true, AnswerInfo{}, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeFleet{list: plainUpstreams(1)}
				f.answer = func(*Send, int) (*Answer, error) {
					a := sealed("1", plainBody("x"))
					a.AnswerInfo = tc.info
					return a, nil
				}
				e := f.executor()
				if tc.before {
					e.board.RecordLimit(f.list[0], limit.PerSecond)
				}
				time.Sleep(time.Minute)
				_ = e.Run(t.Context(), request(route(rules.NonIdempotent), nil), &fakeSink{})
				if got := e.board.LimitedUpstreams() == 1; got != tc.limited {
					t.Errorf("limited: %v, want %v", got, tc.limited)
				}
			})
		})
	}
}
