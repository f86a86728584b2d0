package crash_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/crash"

	"github.com/go-logr/logr/funcr"
)

// death is the death of an upstream while it ran a request.
type death struct {
	request, upstream string
	symptom           crash.Symptom
}

func TestVerdict(t *testing.T) {
	for _, test := range []struct {
		name        string
		deaths      []death
		quarantined string // names of the requests expected in quarantine, concatenated
	}{
		{"one crash does not quarantine", []death{
			{"p", "u1", crash.BrokeBeforeFirstToken}}, ""},
		{"two crashes quarantine", []death{
			{"p", "u1", crash.BrokeBeforeFirstToken}, {"p", "u2", crash.BrokeBeforeFirstToken}}, "p"},
		{"two marks of one upstream are one crash", []death{
			{"p", "u1", crash.BrokeBeforeFirstToken}, {"p", "u1", crash.BrokeBeforeFirstToken}}, ""},
		{"silence requires one more death", []death{
			{"p", "u1", crash.WentSilent}, {"p", "u2", crash.WentSilent}}, ""},
		{"the request present at each death", []death{
			{"p", "u1", crash.BrokeBeforeFirstToken}, {"q", "u1", crash.BrokeBeforeFirstToken},
			{"p", "u2", crash.BrokeBeforeFirstToken}}, "p"},
		{"two requests present at each death", []death{
			{"p", "u1", crash.BrokeBeforeFirstToken}, {"q", "u1", crash.BrokeBeforeFirstToken},
			{"p", "u2", crash.BrokeBeforeFirstToken}, {"q", "u2", crash.BrokeBeforeFirstToken}}, ""},
		{"of two present at each death, the one without progress", []death{
			{"p", "u1", crash.BrokeBeforeFirstToken}, {"q", "u1", crash.BrokeAfterTokens},
			{"p", "u2", crash.BrokeBeforeFirstToken}, {"q", "u2", crash.BrokeAfterTokens}}, "p"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stamp := uint64(0)
				r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour)
				for i, m := range test.deaths {
					r.RecordDeath(crash.Fingerprint(m.request), m.upstream, fmt.Sprintf("dc-%d", i), m.symptom)
				}
				time.Sleep(time.Second)
				got := ""
				for _, f := range []crash.Fingerprint{"p", "q"} {
					if _, ok := r.Verdict(f).(crash.Quarantined); ok {
						got += string(f)
					}
				}
				if got != test.quarantined {
					t.Errorf("in quarantine: %q, want %q", got, test.quarantined)
				}
			})
		})
	}
}

func TestCorrelatedDeathsAreNotBlamedOnRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := crash.NewRegistry(time.Now, func() uint64 { return 1 }, time.Hour)
		marked := 0
		for i := range 8 {
			if _, ok := r.RecordDeath(crash.Fingerprint(fmt.Sprint("request-", i)), fmt.Sprint("u-", i), "dc",
				crash.BrokeBeforeFirstToken); ok {
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
		old, _ := r.RecordDeath("p", "u1", "dc", crash.BrokeBeforeFirstToken)
		r.Clear("p")
		r.ApplyMark(old)
		if _, ok := r.Verdict("p").(crash.Clear); !ok {
			t.Error("a mark older than the clearance was applied")
		}
	})
}

// TestMarksAndQuarantinesAreLogged checks that the log tells a mark made here from one of another node, a death that was
// not attributed, and the beginning of a quarantine.
func TestMarksAndQuarantinesAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines []string
		log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
		stamp := uint64(0)
		r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour, crash.WithLogger(log))
		r.RecordDeath("p", "u1", "dc-1", crash.BrokeBeforeFirstToken)
		r.ApplyMark(crash.Mark{Fingerprint: "p", Upstream: "u2", DataCentre: "dc-2", Stamp: 9})
		for i := range 3 {
			r.RecordDeath(crash.Fingerprint(fmt.Sprint(i)), fmt.Sprint("v", i), "dc-3", crash.BrokeBeforeFirstToken)
		}
		time.Sleep(time.Second)
		r.Verdict("p")
		r.Clear("p")
		logged := strings.Join(lines, "\n")
		for _, want := range []string{
			`"crash-mark" "fingerprint"="p" "upstream"="u1" "source"="own"`,
			`"crash-mark" "fingerprint"="p" "upstream"="u2" "source"="gossip"`,
			`"upstream"="v2" "source"="own" "stamp"=4 "symptom"="broke-before-first-token" "outcome"="correlated-failure"`,
			`"quarantine" "fingerprint"="p" "upstreams"="u1 u2"`, `"crash-cleared" "fingerprint"="p"`,
		} {
			if !strings.Contains(logged, want) {
				t.Errorf("no line with %s in\n%s", want, logged)
			}
		}
	})
}

// TestRepeatedMarkIsOneDeath guards against a verdict that each repetition of a mark postpones, and against a death that
// counts after all when its mark is repeated.
func TestRepeatedMarkIsOneDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := crash.NewRegistry(time.Now, func() uint64 { return 1 }, time.Hour)
		marks := []crash.Mark{
			{Fingerprint: "x", Upstream: "v1", DataCentre: "c", Stamp: 3}, {Fingerprint: "y", Upstream: "v2", DataCentre: "c", Stamp: 4},
			{Fingerprint: "q", Upstream: "v3", DataCentre: "c", Stamp: 5}, // dies with two others
			{Fingerprint: "p", Upstream: "u1", DataCentre: "a", Stamp: 1}, {Fingerprint: "p", Upstream: "u2", DataCentre: "b", Stamp: 2},
		}
		for i := range 40 {
			if i == 10 {
				marks = marks[2:] // no node repeats those of x and y any more
			}
			for _, m := range marks {
				r.ApplyMark(m)
			}
			time.Sleep(75 * time.Millisecond)
		}
		if _, ok := r.Verdict("p").(crash.Quarantined); !ok {
			t.Error("a request with two deaths is not in quarantine while its marks are repeated")
		}
		if _, ok := r.Verdict("q").(crash.Clear); !ok {
			t.Error("a request is suspected of a correlated failure whose mark was repeated")
		}
	})
}

// TestFurtherDeathsDoNotPostponeQuarantine guards against a verdict that waits until a burst of crashes is over.
func TestFurtherDeathsDoNotPostponeQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stamp := uint64(0)
		r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour)
		for i := range 8 {
			if _, ok := r.Verdict("p").(crash.Quarantined); ok {
				return
			}
			r.RecordDeath("p", fmt.Sprint("u", i), fmt.Sprint("dc-", i), crash.BrokeBeforeFirstToken)
			time.Sleep(60 * time.Millisecond)
		}
		t.Error("after 8 deaths, one every 60 ms, the request is not in quarantine")
	})
}

// TestCrashesAfterQuarantineCount guards against a request that is never quarantined again once a quarantine has ended.
func TestCrashesAfterQuarantineCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const quarantine = time.Minute
		stamp := uint64(0)
		r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, quarantine)
		for round := range 3 {
			for i := range 2 {
				m, _ := r.RecordDeath("p", fmt.Sprint("u", i), fmt.Sprint("dc-", i), crash.BrokeBeforeFirstToken)
				time.Sleep(time.Second)
				r.ApplyMark(m)
			}
			if _, ok := r.Verdict("p").(crash.Quarantined); !ok {
				t.Errorf("round %d: two upstreams died and the request is not in quarantine", round)
			}
			time.Sleep(quarantine)
			if _, ok := r.Verdict("p").(crash.Clear); !ok {
				t.Errorf("round %d: the request is not clear after its quarantine", round)
			}
		}
	})
}

// TestEvidenceOfAnotherNodeIsApplied checks that marks of a request that another node has in quarantine count here with
// their age, also if they were taken for a correlated failure, and that a quarantine that would be over does not begin.
func TestEvidenceOfAnotherNodeIsApplied(t *testing.T) {
	const quarantine = 5 * time.Minute
	tests := []struct {
		name      string
		age       time.Duration
		remaining time.Duration // 0 for no quarantine
	}{
		{"deaths of a minute ago", time.Minute, 4*time.Minute + 100*time.Millisecond},
		{"deaths before the last quarantine", quarantine + time.Second, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := crash.NewRegistry(time.Now, func() uint64 { return 1 }, quarantine)
				for i := range 4 {
					r.ApplyMark(crash.Mark{Fingerprint: crash.Fingerprint(fmt.Sprint(i)), Upstream: fmt.Sprint("v", i), DataCentre: "a",
						Stamp: 1})
				}
				for _, quarantined := range []bool{false, true} {
					for i := range 2 {
						r.ApplyMark(crash.Mark{Fingerprint: "p", Upstream: fmt.Sprint("u", i), DataCentre: "a", Stamp: 2, Age: tc.age,
							Quarantined: quarantined})
					}
				}
				verdict, ok := r.Verdict("p").(crash.Quarantined)
				if ok != (tc.remaining > 0) || ok && verdict.Remaining() != tc.remaining {
					t.Errorf("in quarantine: %v for %v, want %v", ok, verdict.Remaining(), tc.remaining)
				}
				if got, want := len(r.Evidence()), len(r.List())*2; got != want {
					t.Errorf("%d marks of %d requests in quarantine, want %d", got, len(r.List()), want)
				}
			})
		})
	}
}

// TestEarlierCrashesOfAnUpstreamExcuseNoOther guards against a request in quarantine that excuses each later one whose
// crashes hit the same upstreams after their restart.
func TestEarlierCrashesOfAnUpstreamExcuseNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stamp := uint64(0)
		r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour)
		for _, d := range []death{
			{request: "p", upstream: "u1"}, {request: "p", upstream: "u2"}, {request: "p", upstream: "u3"},
			{request: "q", upstream: "u1"}, {request: "q", upstream: "u2"},
		} {
			r.RecordDeath(crash.Fingerprint(d.request), d.upstream, "dc", crash.BrokeBeforeFirstToken)
			time.Sleep(3 * time.Second)
		}
		if _, ok := r.Verdict("q").(crash.Quarantined); !ok {
			t.Error("a request with two crashes is not in quarantine")
		}
	})
}

// TestCrashingRequestsExcuseNoOther guards against crashes of several requests in one data centre that are taken for a
// correlated failure.
func TestCrashingRequestsExcuseNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const mostDeaths = 3
		stamp := uint64(0)
		r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour)
		deaths := make(map[crash.Fingerprint]int)
		for round := range 10 {
			for _, f := range []crash.Fingerprint{"p", "q", "s"} {
				if _, ok := r.Verdict(f).(crash.Quarantined); ok {
					continue
				}
				r.RecordDeath(f, fmt.Sprint("u-", f, round), "dc", crash.BrokeBeforeFirstToken)
				deaths[f]++
				time.Sleep(250 * time.Millisecond)
			}
		}
		for f, n := range deaths {
			if n > mostDeaths {
				t.Errorf("%d upstreams died of %s until it was quarantined, want at most %d", n, f, mostDeaths)
			}
		}
	})
}
