package crash_test

import (
	"testing"
	"time"

	"rhubarbspread/core/crash"
)

func TestKeeperChanges(t *testing.T) {
	evidence := []crash.Mark{{Fingerprint: "p", Upstream: "u1"}, {Fingerprint: "p", Upstream: "u2"}}
	row := map[crash.Fingerprint]bool{"p": true}
	type step struct {
		after       time.Duration
		evidence    []crash.Mark
		stored      map[crash.Fingerprint]bool
		change      bool // the row is changed as decided
		writes      int  // marks of p
		removesRows int
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"a quarantine without a row is written until that succeeds", []step{
			{0, evidence, nil, false, 2, 0}, {time.Second, evidence, nil, true, 2, 0}, {time.Second, evidence, nil, false, 0, 0},
			{20 * time.Second, evidence, row, false, 0, 0}, {time.Hour, evidence, row, false, 0, 0},
		}},
		{"a row that was removed by another node is written again", []step{
			{0, evidence, nil, true, 2, 0}, {time.Minute, evidence, nil, false, 2, 0},
		}},
		{"a row is removed once its quarantine has ended", []step{
			{0, evidence, row, false, 0, 0}, {time.Second, nil, row, false, 0, 0}, {5 * time.Second, nil, row, false, 0, 0},
			{6 * time.Second, nil, row, true, 0, 1}, {time.Second, nil, row, false, 0, 0}, {time.Minute, nil, nil, false, 0, 0},
		}},
		{"a row that was just read is kept until its marks are judged", []step{
			{0, nil, row, false, 0, 0}, {time.Second, evidence, row, false, 0, 0}, {time.Minute, evidence, row, false, 0, 0},
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			k := crash.NewKeeper()
			now := time.Unix(1000, 0)
			for i, s := range tc.steps {
				now = now.Add(s.after)
				missing, ended := k.Changes(now, s.evidence, s.stored)
				if len(missing["p"]) != s.writes || len(ended) != s.removesRows {
					t.Errorf("step %d: writes %v, removes %v, want %d marks and %d rows", i, missing, ended, s.writes, s.removesRows)
				}
				if s.change {
					k.Changed("p", now)
				}
			}
		})
	}
}
