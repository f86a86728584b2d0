package crash_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/crash"
)

// partStep is what a node sees: the death of an upstream while it ran requests with some suspects, or an answer to a
// request with one.
type partStep struct {
	after    time.Duration
	upstream string              // that died, or "" for an answer
	suspects []crash.Fingerprint // that ran on it, or whose request was answered
	times    int                 // for which the step is repeated at further upstreams; 0 for once
}

func part(id string) crash.Fingerprint { return crash.NewPartFingerprint("s", id) }

// TestPartVerdict checks which suspects are in quarantine a second after the last step.
func TestPartVerdict(t *testing.T) {
	const second = time.Second
	p, q, first, other := part("p"), part("q"), part("first"), part("other")
	tests := []struct {
		name  string
		uses  map[crash.Fingerprint]int // requests with a part, of late
		steps []partStep
		want  []crash.Fingerprint
	}{
		{"three deaths do not quarantine a part", nil, []partStep{{second, "u", []crash.Fingerprint{p}, 3}}, nil},
		{"four deaths do", nil, []partStep{{second, "u", []crash.Fingerprint{p}, 4}}, []crash.Fingerprint{p}},
		{"deaths within one second with the part in common are no correlated failure", nil, []partStep{
			{100 * time.Millisecond, "u", []crash.Fingerprint{p}, 4}}, []crash.Fingerprint{p}},
		{"nor are deaths beside which others of the data centre flap", nil, []partStep{
			{0, "u", []crash.Fingerprint{p}, 1}, {0, "v", []crash.Fingerprint{"a"}, 1}, {0, "w", []crash.Fingerprint{"b"}, 1},
			{3 * second, "x", []crash.Fingerprint{p}, 1}, {0, "v", []crash.Fingerprint{"c"}, 1}, {0, "w", []crash.Fingerprint{"d"}, 1},
			{3 * second, "y", []crash.Fingerprint{p}, 1}, {0, "v", []crash.Fingerprint{"e"}, 1}, {0, "w", []crash.Fingerprint{"f"}, 1},
			{3 * second, "z", []crash.Fingerprint{p}, 1}, {0, "v", []crash.Fingerprint{"g"}, 1}, {0, "w", []crash.Fingerprint{"h"}, 1},
		}, []crash.Fingerprint{p}},
		{"an answer between the deaths clears the part", nil, []partStep{
			{second, "u", []crash.Fingerprint{p}, 3}, {second, "", []crash.Fingerprint{p}, 0},
			{second, "v", []crash.Fingerprint{p}, 3}}, nil},
		{"an answer to a request that was running lifts the quarantine", nil, []partStep{
			{second, "u", []crash.Fingerprint{p}, 5}, {second, "", []crash.Fingerprint{p}, 0}}, nil},
		{"a part that was answered before is not the cause while another may be", map[crash.Fingerprint]int{first: 100}, []partStep{
			{second, "", []crash.Fingerprint{first}, 0}, {second, "u", []crash.Fingerprint{first, p}, 6}}, []crash.Fingerprint{p}},
		{"of two parts with the same deaths, that of far fewer requests", map[crash.Fingerprint]int{p: 18, q: 9}, []partStep{
			{second, "u", []crash.Fingerprint{p, q}, 4}}, []crash.Fingerprint{q}},
		{"of two parts with the same deaths and about as many requests, neither", map[crash.Fingerprint]int{p: 10, q: 9}, []partStep{
			{second, "u", []crash.Fingerprint{p, q}, 4}}, nil},
		{"of two parts of about as many requests, the one with more deaths", map[crash.Fingerprint]int{p: 10, q: 9, other: 40}, []partStep{
			{second, "u", []crash.Fingerprint{p, q}, 4}, {second, "v", []crash.Fingerprint{p}, 2}}, []crash.Fingerprint{p}},
		{"a part of most requests is not blamed though it was at more deaths",
			map[crash.Fingerprint]int{first: 100, p: 10}, []partStep{
				{second, "u", []crash.Fingerprint{first, p}, 4}, {second, "v", []crash.Fingerprint{first}, 2}},
			[]crash.Fingerprint{p}},
		{"a part of most requests is not blamed, as it is at all deaths", map[crash.Fingerprint]int{p: 10, q: 9}, []partStep{
			{second, "u", []crash.Fingerprint{p, q}, 4}, {second, "v", []crash.Fingerprint{p}, 2}}, nil},
		{"requests with a crashing part are not blamed for two deaths each", nil, []partStep{
			{second, "u", []crash.Fingerprint{p, "r1"}, 2}, {second, "v", []crash.Fingerprint{p, "r2"}, 2},
			{second, "w", []crash.Fingerprint{p}, 1}}, []crash.Fingerprint{p}},
		{"a crashing request, not the part that only it has", nil, []partStep{
			{second, "u", []crash.Fingerprint{p, "r"}, 3}}, []crash.Fingerprint{"r"}},
		{"two crashing requests, not the one that ran beside each of them once", nil, []partStep{
			{second, "u", []crash.Fingerprint{"r", "r1"}, 1}, {second, "v", []crash.Fingerprint{"r", "r2"}, 1},
			{second, "w", []crash.Fingerprint{"r1"}, 2}, {second, "x", []crash.Fingerprint{"r2"}, 2}},
			[]crash.Fingerprint{"r1", "r2"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stamp := uint64(0)
				r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour)
				useTogether(r, tc.uses)
				for _, s := range tc.steps {
					play(r, s)
				}
				time.Sleep(time.Second)
				var got []crash.Fingerprint
				for _, f := range []crash.Fingerprint{p, q, first, "r", "r1", "r2"} {
					if _, ok := r.Verdict(f).(crash.Quarantined); ok {
						got = append(got, f)
					}
				}
				if fmt.Sprint(got) != fmt.Sprint(tc.want) {
					t.Errorf("in quarantine: %v, want %v", got, tc.want)
				}
			})
		})
	}
}

// TestDeathsOfTwoPartsInNoCommonRequestBlameNeither guards against the quarantine of a sound part that is in far fewer requests than
// a crashing one, and in none of them.
func TestDeathsOfTwoPartsInNoCommonRequestBlameNeither(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stamp := uint64(0)
		r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour)
		p, q := part("p"), part("q")
		for i := range 40 {
			r.RecordUse([]crash.Fingerprint{p})
			if i%4 == 0 {
				r.RecordUse([]crash.Fingerprint{q})
			}
		}
		play(r, partStep{time.Second, "u", []crash.Fingerprint{p, q}, 4})
		time.Sleep(time.Second)
		for _, f := range []crash.Fingerprint{p, q} {
			if _, ok := r.Verdict(f).(crash.Quarantined); ok {
				t.Errorf("%v is in quarantine", f)
			}
		}
	})
}

// TestPartThatRanBesideTwoCrashingOnesIsNotBlamed guards against the quarantine of a sound part for the deaths of several others.
func TestPartThatRanBesideTwoCrashingOnesIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stamp := uint64(0)
		r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour)
		a, b, sound := part("a"), part("b"), part("sound")
		for _, s := range []partStep{
			{0, "u", []crash.Fingerprint{a, sound}, 3}, {0, "v", []crash.Fingerprint{b, sound}, 3},
			{0, "w", []crash.Fingerprint{a}, 2}, {0, "x", []crash.Fingerprint{b}, 2},
		} {
			play(r, s)
		}
		time.Sleep(time.Second)
		if _, ok := r.Verdict(sound).(crash.Quarantined); ok {
			t.Error("the part is in quarantine")
		}
	})
}

// TestDeathsUnderRequestsSentBeforeAPartWasWithheldDoNotCondemnIt guards against deaths that are taken for the outcome of trials though
// the requests had been sent before.
func TestDeathsUnderRequestsSentBeforeAPartWasWithheldDoNotCondemnIt(t *testing.T) {
	const interval, trialTime = 1500 * time.Millisecond, 200 * time.Millisecond
	for _, tc := range []struct {
		name    string
		isTrial bool
	}{{"sent before", false}, {"sent on trial", true}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stamp := uint64(0)
				r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour)
				p, beside := part("p"), part("beside")
				begun := time.Now()
				play(r, partStep{0, "u", []crash.Fingerprint{p, beside}, 4})
				time.Sleep(2 * interval)
				for i := range 5 {
					time.Sleep(interval)
					sent := begun
					if tc.isTrial {
						sent = time.Now().Add(-trialTime)
					}
					upstream := fmt.Sprint("v", i)
					r.RecordDeathAt(p, upstream, "dc", crash.BrokeAfterTokens, sent, time.Now())
					r.RecordDeathAt(beside, upstream, "dc", crash.BrokeAfterTokens, begun, time.Now())
				}
				time.Sleep(time.Second)
				if _, ok := r.Verdict(p).(crash.Quarantined); ok != tc.isTrial {
					t.Errorf("in quarantine: %v, want %v", ok, tc.isTrial)
				}
			})
		})
	}
}

// useTogether records requests in each of which all parts are that have not had their number of requests yet.
func useTogether(r *crash.Registry, uses map[crash.Fingerprint]int) {
	for i := 0; ; i++ {
		var parts []crash.Fingerprint
		for f, n := range uses {
			if i < n {
				parts = append(parts, f)
			}
		}
		if len(parts) == 0 {
			return
		}
		r.RecordUse(parts)
	}
}

// play applies one step.
func play(r *crash.Registry, s partStep) {
	for i := range max(1, s.times) {
		time.Sleep(s.after)
		for _, f := range s.suspects {
			if s.upstream == "" {
				r.Completed(f, r.Stamp())
			} else {
				r.RecordDeath(f, fmt.Sprint(s.upstream, i), "dc", crash.BrokeBeforeFirstToken)
			}
		}
	}
}

// TestAnswerAtOneNodeAcquitsAtAnother checks that a node with an answer to a request with a part tells nodes that suspect
// the part, also if the answer came before the deaths, and one that holds on to its quarantine.
func TestAnswerAtOneNodeAcquitsAtAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stamp := uint64(0)
		newRegistry := func() *crash.Registry {
			return crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour)
		}
		answered, other, late := newRegistry(), newRegistry(), newRegistry()
		first := part("first")
		answered.Completed(first, answered.Stamp())
		var marks []crash.Mark
		for i := range 4 {
			time.Sleep(time.Second)
			m, _ := other.RecordDeath(first, fmt.Sprint("u", i), "dc", crash.BrokeBeforeFirstToken)
			answered.ApplyMark(m)
			late.ApplyMark(m)
			marks = append(marks, m)
		}
		for _, m := range answered.Acquittals() {
			other.ApplyMark(m)
		}
		time.Sleep(time.Second)
		if _, ok := other.Verdict(first).(crash.Quarantined); ok {
			t.Error("a part that was answered at another node is in quarantine")
		}
		if _, ok := late.Verdict(first).(crash.Quarantined); !ok {
			t.Fatal("a part with four deaths is not in quarantine")
		}
		if m, ok := other.Completed(first, other.Stamp()); !ok {
			t.Fatal("an answer did not clear the part")
		} else {
			answered.ApplyMark(m)
		}
		for _, m := range late.Evidence() {
			answered.ApplyMark(m)
		}
		for _, m := range answered.Acquittals() {
			late.ApplyMark(m)
		}
		if _, ok := late.Verdict(first).(crash.Quarantined); ok {
			t.Errorf("a node keeps a quarantine that another has cleared; it has %d marks", len(marks))
		}
	})
}

// TestEarlierAnswerLiftsAQuarantine guards against a part that stays in quarantine at a node that heard too late of another
// node's answer from before the deaths.
func TestEarlierAnswerLiftsAQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stamp := uint64(0)
		newRegistry := func() *crash.Registry {
			return crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour)
		}
		answered, late := newRegistry(), newRegistry()
		first := part("first")
		answered.Completed(first, answered.Stamp())
		for i := range 4 {
			time.Sleep(time.Second)
			m, _ := late.RecordDeath(first, fmt.Sprint("u", i), "dc", crash.BrokeBeforeFirstToken)
			answered.ApplyMark(m)
		}
		time.Sleep(time.Second)
		if _, ok := late.Verdict(first).(crash.Quarantined); !ok {
			t.Fatal("a part with four deaths is not in quarantine")
		}
		for _, m := range answered.Acquittals() {
			late.ApplyMark(m)
		}
		if _, ok := late.Verdict(first).(crash.Quarantined); ok {
			t.Error("a part that was answered seconds before the deaths stays in quarantine")
		}
	})
}

// TestDeathsAfterAQuarantineCountWheneverItsEndIsNoticed guards against the end of a quarantine that is noticed late and
// withdraws the marks of deaths after it.
func TestDeathsAfterAQuarantineCountWheneverItsEndIsNoticed(t *testing.T) {
	for _, isAsked := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const quarantine = time.Minute
			stamp := uint64(0)
			r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, quarantine)
			dies := func(upstream string) { r.RecordDeath("p", upstream, "dc", crash.BrokeBeforeFirstToken) }
			dies("u1")
			dies("u2")
			time.Sleep(time.Second)
			if _, ok := r.Verdict("p").(crash.Quarantined); !ok {
				t.Fatal("a request with two deaths is not in quarantine")
			}
			time.Sleep(quarantine)
			if isAsked {
				r.Verdict("p")
			}
			dies("u3")
			dies("u4")
			time.Sleep(time.Second)
			if _, ok := r.Verdict("p").(crash.Quarantined); !ok {
				t.Errorf("two deaths after the quarantine do not count (its end was noticed before: %v)", isAsked)
			}
		})
	}
}

// TestUnboundedPartsAreForgotten guards against memory that grows with the IDs of parts, which come from callers.
func TestUnboundedPartsAreForgotten(t *testing.T) {
	const many, mostMarks = 20_000, 5_000
	synctest.Test(t, func(t *testing.T) {
		stamp := uint64(0)
		r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour)
		suspects := 0
		for i := range many {
			f := part(fmt.Sprint(i))
			r.RecordUse([]crash.Fingerprint{f})
			r.RecordDeath(f, fmt.Sprint("u", i), fmt.Sprint("dc", i), crash.BrokeBeforeFirstToken)
		}
		for i := range many {
			if _, ok := r.Verdict(part(fmt.Sprint(i))).(crash.Suspect); ok {
				suspects++
			}
		}
		if suspects > mostMarks {
			t.Errorf("%d parts are remembered, want at most %d", suspects, mostMarks)
		}
	})
}

// TestQuarantineLastsWhileRequestsKeepComing guards against a timer that lets requests with a crashing part through now and
// then, also at a node that got none of them, and against a quarantine without end.
func TestQuarantineLastsWhileRequestsKeepComing(t *testing.T) {
	const quarantine, periods = 10 * time.Minute, 5
	synctest.Test(t, func(t *testing.T) {
		stamp := uint64(0)
		asked := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, quarantine)
		idle := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, quarantine)
		p := part("p")
		for i := range 4 {
			m, _ := asked.RecordDeath(p, fmt.Sprint("u", i), "dc", crash.BrokeBeforeFirstToken)
			idle.ApplyMark(m)
			time.Sleep(time.Second)
		}
		for i := range int(periods * quarantine / time.Minute) {
			time.Sleep(time.Minute)
			if _, ok := asked.Verdict(p).(crash.Quarantined); !ok {
				t.Fatalf("the part is not in quarantine after %d minutes", i)
			}
			for _, m := range asked.Evidence() {
				idle.ApplyMark(m)
			}
			if len(idle.List()) == 0 {
				t.Fatalf("the part is not in quarantine at the idle node after %d minutes", i)
			}
		}
		time.Sleep(2 * quarantine)
		for _, r := range []*crash.Registry{asked, idle} {
			if _, ok := r.Verdict(p).(crash.Clear); !ok {
				t.Error("the part is in quarantine though no request with it came for twice its length")
			}
		}
	})
}
