package crash_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/crash"
)

// mark is one death in a table's row.
type mark struct {
	request, upstream string
	sign              crash.Sign
}

func TestJudge(t *testing.T) {
	for _, test := range []struct {
		name  string
		marks []mark
		bad   string // requests that have to be in quarantine, by their first letters
	}{
		{"one crash is no proof", []mark{{"p", "u1", crash.BrokeAtOnce}}, ""},
		{"two crashes are", []mark{{"p", "u1", crash.BrokeAtOnce}, {"p", "u2", crash.BrokeAtOnce}}, "p"},
		{"two marks of one upstream are one crash", []mark{{"p", "u1", crash.BrokeAtOnce}, {"p", "u1", crash.BrokeAtOnce}}, ""},
		{"silence needs one more", []mark{{"p", "u1", crash.FellSilent}, {"p", "u2", crash.FellSilent}}, ""},
		{"the one that was there each time", []mark{
			{"p", "u1", crash.BrokeAtOnce}, {"q", "u1", crash.BrokeAtOnce}, {"p", "u2", crash.BrokeAtOnce}}, "p"},
		{"two that were there each time", []mark{
			{"p", "u1", crash.BrokeAtOnce}, {"q", "u1", crash.BrokeAtOnce}, {"p", "u2", crash.BrokeAtOnce}, {"q", "u2", crash.BrokeAtOnce}}, ""},
		{"of two, the one that made no progress", []mark{
			{"p", "u1", crash.BrokeAtOnce}, {"q", "u1", crash.BrokeLater}, {"p", "u2", crash.BrokeAtOnce}, {"q", "u2", crash.BrokeLater}}, "p"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stamp := uint64(0)
				r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour)
				for i, m := range test.marks {
					r.Died(crash.Fingerprint(m.request), m.upstream, fmt.Sprintf("dc-%d", i), m.sign)
				}
				time.Sleep(time.Second)
				got := ""
				for _, f := range []crash.Fingerprint{"p", "q"} {
					if _, ok := r.Judge(f).(crash.Quarantined); ok {
						got += string(f)
					}
				}
				if got != test.bad {
					t.Errorf("in quarantine: %q, want %q", got, test.bad)
				}
			})
		})
	}
}

func TestMassDeathBlamesNobodyFurther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := crash.NewRegistry(time.Now, func() uint64 { return 1 }, time.Hour)
		marked := 0
		for i := range 8 {
			if _, ok := r.Died(crash.Fingerprint(fmt.Sprint("request-", i)), fmt.Sprint("u-", i), "dc", crash.BrokeAtOnce); ok {
				marked++
			}
		}
		if marked > 2 {
			t.Errorf("%d of 8 deaths in one data centre at once were blamed on requests", marked)
		}
	})
}

func TestClearOutranksOldMarks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stamp := uint64(0)
		r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour)
		old, _ := r.Died("p", "u1", "dc", crash.BrokeAtOnce)
		r.Clear("p")
		r.Learn(old)
		if _, ok := r.Judge("p").(crash.Clear); !ok {
			t.Error("a mark from before the clearing came back")
		}
	})
}
