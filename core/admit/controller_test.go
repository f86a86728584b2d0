package admit

import (
	"fmt"
	"math"
	"testing"
	"time"
)

type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

func newClock() *fakeClock { return &fakeClock{time.Unix(1000, 0)} }

var urgent, usual, patient = Rank{1, 0}, Rank{1, 1}, Rank{1, 2}

func threeClasses() []Class {
	return []Class{
		{patient, time.Second, 250 * time.Millisecond},
		{urgent, 500 * time.Millisecond, 250 * time.Millisecond},
		{usual, 500 * time.Millisecond, 250 * time.Millisecond},
	}
}

func newController(clock *fakeClock) *Controller {
	c := New("s", WithClock(clock.now))
	c.SetClasses(threeClasses())
	return c
}

func offer(c *Controller, r Rank, count int, end func(*Ticket)) {
	for range count {
		end(c.Offer(Request{Rank: r, Team: "t", Tokens: 1000}))
	}
}

func limitsOf(c *Controller, r Rank) Limits {
	t := c.Offer(Request{Rank: r, Team: "t", Tokens: 1000})
	defer t.Abandon()
	return t.Limits()
}

// TestLimitsOfClasses guards against a less urgent class that takes the room which more urgent requests lack or are about to need,
// and against a class that is narrowed further while none lack any.
func TestLimitsOfClasses(t *testing.T) {
	calm := func(*Controller, *fakeClock) {}
	refused := func(r Rank, count int) func(c *Controller, _ *fakeClock) {
		return func(c *Controller, _ *fakeClock) { offer(c, r, count, (*Ticket).Refuse) }
	}
	reported := func(service string, unserved int) func(c *Controller, _ *fakeClock) {
		return func(c *Controller, _ *fakeClock) {
			c.Merge("n", map[uint32]Count{ClassHash(service, urgent): {Offered: 400, Unserved: unserved}})
		}
	}
	for _, tc := range []struct {
		name             string
		prepare          func(c *Controller, clock *fakeClock)
		rank             Rank
		level, narrowing float64
	}{
		{"calm, most urgent", calm, urgent, 0, 0},
		{"calm, next", calm, usual, 0, 0.35},
		{"calm, least urgent, a longer objective does not fill the queues", calm, patient, 0, 0.7},
		{"urgent requests are refused", refused(urgent, 20), patient, 1, 1},
		{"the class's own refusals", refused(patient, 4), patient, 0, 0.7},
		{"less urgent ones are refused", refused(patient, 20), urgent, 0, 0},
		{"one large request is refused", refused(urgent, 1), patient, 0, 0.7},
		{"some of another node's urgent requests are refused", reported("s", 64), patient, 0.8, 0.8},
		{"few of them are", reported("s", 4), patient, 0.05, 0.7},
		{"another service's are", reported("other", 400), patient, 0, 0.7},
		{"urgent requests wait for long", func(c *Controller, clock *fakeClock) {
			offer(c, urgent, 4, func(*Ticket) {})
			clock.at = clock.at.Add(251 * time.Millisecond)
		}, usual, 1, 1},
		{"callers left", func(c *Controller, _ *fakeClock) { offer(c, urgent, 20, (*Ticket).Abandon) }, patient, 0, 0.7},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := newClock()
			c := newController(clock)
			tc.prepare(c, clock)
			got := limitsOf(c, tc.rank)
			for _, f := range []struct {
				name      string
				got, want float64
			}{
				{"level", got.Level, tc.level},
				{"first event, ms", got.FirstEvent.Seconds() * 1000, 1.5 * 500 * (1 - 0.6*tc.narrowing)},
				{"event gap, ms", got.EventGap.Seconds() * 1000, 0.9 * 250 * (1 - 0.65*tc.narrowing)},
				{"share of the KV cache", got.KVShare, 0.97 - 0.32*tc.narrowing},
			} {
				if math.Abs(f.got-f.want) > 0.001 {
					t.Errorf("%s %v, want %v", f.name, f.got, f.want)
				}
			}
		})
	}
}

// TestLeastUrgentClassGivesWayFirst guards against a few unserved requests of a small team that close the classes of all others, while less
// urgent classes could give way.
func TestLeastUrgentClassGivesWayFirst(t *testing.T) {
	small := Rank{0, 2}
	for _, tc := range []struct {
		name                        string
		urgent, usual, patient      Count
		ofUrgent, ofUsual, ofOthers bool // whether the level of the class is above 0
	}{
		{"the least urgent class is served", Count{70, 0}, Count{40, 0}, Count{100, 40}, false, false, true},
		{"it is served at its floor alone", Count{70, 0}, Count{40, 0}, Count{100, 70}, false, true, true},
		{"so is the next one", Count{70, 0}, Count{40, 28}, Count{100, 70}, true, true, true},
		{"nobody else asks", Count{}, Count{}, Count{}, true, true, true},
		{"the least urgent class can't give way to all", Count{70, 30}, Count{40, 0}, Count{20, 0}, false, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New("s", WithClock(newClock().now))
			c.SetClasses(append(threeClasses(), Class{small, time.Second, 250 * time.Millisecond}))
			c.Merge("n", map[uint32]Count{ClassHash("s", small): {10, 4}, ClassHash("s", urgent): tc.urgent,
				ClassHash("s", usual): tc.usual, ClassHash("s", patient): tc.patient})
			for _, f := range []struct {
				rank Rank
				want bool
			}{{small, false}, {urgent, tc.ofUrgent}, {usual, tc.ofUsual}, {patient, tc.ofOthers}} {
				if got := limitsOf(c, f.rank).Level; (got > 0) != f.want {
					t.Errorf("level %.2f of %v, want one above 0: %v", got, f.rank, f.want)
				}
			}
		})
	}
}

// TestSmallClassClosesNoLargeOne guards against a few unserved requests of a small team that close a class many times as large, once less
// urgent classes have nothing left to give.
func TestSmallClassClosesNoLargeOne(t *testing.T) {
	small := Rank{0, 0}
	for _, tc := range []struct {
		name        string
		unserved    int // of ten
		own         int // requests of the larger class
		least, most float64
	}{
		{"four of ten, as many", 4, 10, 1, 1},
		{"four of ten, ten times as many", 4, 100, 0.1, 0.3},
		{"all, ten times as many", 10, 100, 0.4, 0.6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New("s", WithClock(newClock().now))
			c.SetClasses([]Class{{small, time.Second, 250 * time.Millisecond}, {urgent, time.Second, 250 * time.Millisecond}})
			c.Merge("n", map[uint32]Count{ClassHash("s", small): {10, tc.unserved}, ClassHash("s", urgent): {tc.own, 0}})
			if got := limitsOf(c, urgent).Level; got < tc.least || got > tc.most {
				t.Errorf("level %.2f, want %.2f to %.2f", got, tc.least, tc.most)
			}
		})
	}
}

// TestLevelFallsWithItsCause guards against a level that stays after the shortage, also at a node that hears of its end from nobody.
func TestLevelFallsWithItsCause(t *testing.T) {
	for _, tc := range []struct {
		name  string
		cause func(c *Controller)
	}{
		{"own requests", func(c *Controller) { offer(c, urgent, 20, (*Ticket).Refuse) }},
		{"cut off from the others", func(c *Controller) {
			c.Merge("n", map[uint32]Count{ClassHash("s", urgent): {Offered: 100, Unserved: 100}})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := newClock()
			c := newController(clock)
			tc.cause(c)
			if got := limitsOf(c, patient).Level; got != 1 {
				t.Fatalf("level %v, want 1", got)
			}
			for range 30 {
				clock.at = clock.at.Add(100 * time.Millisecond)
				limitsOf(c, patient)
			}
			if got := limitsOf(c, patient).Level; got > 0.001 {
				t.Errorf("level %v three seconds after the shortage, want 0", got)
			}
		})
	}
}

// TestLevelIsUpheldByFewRequests guards against the fall of the level at a node that is cut off from the others, whose own few
// urgent requests still find no room, and against a single refused request, which may be too large for any path, that raises levels.
func TestLevelIsUpheldByFewRequests(t *testing.T) {
	for _, tc := range []struct {
		name        string
		others      int // unserved requests of 400 that other nodes report at the beginning
		served      int // of this node's urgent requests, beside one refused, in each window
		pause       time.Duration
		least, most float64
	}{
		{"a fifth of the node's own is unserved", 100, 4, countWindow / 2, 1, 1},
		{"one in ten of the node's own is unserved", 100, 9, countWindow / 2, 0.4, 0.6},
		{"a level of 0 is not raised", 0, 4, countWindow / 2, 0, 0},
		{"an old level is not upheld", 100, 4, 2 * levelFall, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := newClock()
			c := newController(clock)
			c.Merge("n", map[uint32]Count{ClassHash("s", urgent): {Offered: 400, Unserved: tc.others}})
			c.Level()
			level := 0.0
			for range 10 {
				clock.at = clock.at.Add(tc.pause)
				offer(c, urgent, tc.served, (*Ticket).Admit)
				clock.at = clock.at.Add(tc.pause)
				offer(c, urgent, 1, (*Ticket).Refuse)
				level = c.Level()
			}
			if level < tc.least || level > tc.most {
				t.Errorf("level %.2f, want %.2f to %.2f", level, tc.least, tc.most)
			}
		})
	}
}

// TestFloors guards against a class, team or size of request that is starved while others are admitted.
func TestFloors(t *testing.T) {
	for _, tc := range []struct {
		name   string
		starve Request
		other  Request
		want   bool
	}{
		{"a class", Request{Rank: patient, Team: "t", Tokens: 1000}, Request{Rank: urgent, Team: "t", Tokens: 1000}, true},
		{"a team", Request{Rank: urgent, Team: "small", Tokens: 1000}, Request{Rank: urgent, Team: "t", Tokens: 1000}, true},
		{"large requests", Request{Rank: urgent, Team: "t", Tokens: 9000}, Request{Rank: urgent, Team: "t", Tokens: 100}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := newClock()
			c := newController(clock)
			for i := range 400 {
				clock.at = clock.at.Add(10 * time.Millisecond)
				if i%20 == 0 {
					c.Offer(tc.starve).Refuse()
				} else {
					c.Offer(tc.other).Admit()
				}
			}
			starved, other := c.Offer(tc.starve), c.Offer(tc.other)
			if got := starved.Limits().Raised; got != tc.want {
				t.Errorf("starved ones are raised: %v, want %v", got, tc.want)
			}
			if other.Limits().Raised {
				t.Error("the others are raised")
			}
			for range 40 {
				c.Offer(tc.starve).Admit()
			}
			if c.Offer(tc.starve).Limits().Raised {
				t.Error("still raised after 40 of them were admitted")
			}
		})
	}
}

// TestChangedClassesKeepTheirCounts guards against counts that a change of the configuration loses, and against requests of a class that
// is gone.
func TestChangedClassesKeepTheirCounts(t *testing.T) {
	clock := newClock()
	c := newController(clock)
	offer(c, urgent, 20, (*Ticket).Refuse)
	c.SetClasses(threeClasses()[:2])
	if got := limitsOf(c, patient).Level; got != 1 {
		t.Errorf("level %v after a change, want 1", got)
	}
	if got := limitsOf(c, usual).Level; got != 1 { // counts as the next less urgent class
		t.Errorf("level %v of a class that is gone, want 1", got)
	}
	c.SetClasses(nil)
	if got := limitsOf(c, patient); got != (Limits{KVShare: wideKVShare}) {
		t.Errorf("%+v without classes", got)
	}
}

// TestRefusedCallersComeBackInOrder guards against refused callers who all come back at once, or beyond the third of their time
// that they honour, or before more urgent ones.
func TestRefusedCallersComeBackInOrder(t *testing.T) {
	const left = 20 * time.Second
	clock := newClock()
	c := newController(clock)
	after := func(r Rank, random float64) time.Duration {
		return c.Offer(Request{Rank: r, Team: "t"}).RetryAfter(left, random)
	}
	for _, random := range []float64{0, 0.5, 0.99} {
		c = newController(clock)
		if u, p := after(urgent, random), after(patient, random); u < left/20 || p < u+left/11 {
			t.Errorf("urgent after %v, patient after %v", u, p)
		}
	}
	c = newController(clock)
	offer(c, urgent, 2, (*Ticket).Admit) // four a second
	perSecond := make(map[int64]int)
	for range 16 {
		d := after(urgent, 0)
		if d > left/3 {
			t.Errorf("comes back after %v, beyond a third of %v", d, left)
		}
		perSecond[int64(d/time.Second)]++
	}
	if u := after(urgent, 0); after(patient, 0) < 3*time.Second || u < 4*time.Second {
		t.Errorf("an urgent caller after 16 others comes back after %v", u)
	}
	for second, count := range perSecond {
		if count > 5 {
			t.Errorf("%d callers come back in second %d, want about 4", count, second)
		}
	}
	if got := c.Offer(Request{Rank: urgent}).RetryAfter(0, 0.5); got != 0 {
		t.Errorf("%v without time left, want 0", got)
	}
}

// TestSilentNodesAreForgotten guards against counts of nodes that have gone, whose number grows while no request arrives.
func TestSilentNodesAreForgotten(t *testing.T) {
	clock := newClock()
	c := newController(clock)
	refused := map[uint32]Count{ClassHash("s", urgent): {Offered: 9, Unserved: 9}}
	for i := range 100 {
		c.Merge(fmt.Sprint("n", i), refused)
		clock.at = clock.at.Add(100 * time.Millisecond)
	}
	if most := int(peerTTL/(100*time.Millisecond)) + 1; len(c.peers) > most {
		t.Errorf("counts of %d nodes, want at most %d", len(c.peers), most)
	}
	if l := limitsOf(c, patient); l.Level != 1 || l.Age > peerTTL {
		t.Errorf("level %v from counts %v old, want 1 from counts of the last second", l.Level, l.Age)
	}
	clock.at = clock.at.Add(peerTTL)
	if l := limitsOf(c, patient); l.Age > 0 || len(c.peers) > 0 {
		t.Errorf("counts of %d nodes, %v old, want none", len(c.peers), l.Age)
	}
}

// TestCountsOfTeamsAreBounded guards against memory that grows with the number of teams.
func TestCountsOfTeamsAreBounded(t *testing.T) {
	clock := newClock()
	c := newController(clock)
	offerTeams := func(first, count int) {
		for i := range count {
			c.Offer(Request{Rank: urgent, Team: fmt.Sprint(first + i)}).Refuse()
		}
	}
	offerTeams(0, 2*maxTeams)
	if n := len(c.floors.teams); n != maxTeams {
		t.Errorf("counts of %d teams, want %d", n, maxTeams)
	}
	clock.at = clock.at.Add(2 * floorTime)
	offerTeams(2*maxTeams, 10)
	if n := len(c.floors.teams); n != 10 {
		t.Errorf("counts of %d teams after a time without their requests, want 10", n)
	}
	for _, s := range c.classes {
		if cap(s.waiting) > 4*maxTeams {
			t.Errorf("room for %d tickets that have ended", cap(s.waiting))
		}
	}
}

// TestTeamWithPriorityIsNarrowedNoMoreThanOthers guards against a team with the highest priority whose less urgent routes are refused
// for the sake of requests that are less urgent than they.
func TestTeamWithPriorityIsNarrowedNoMoreThanOthers(t *testing.T) {
	c := newController(newClock())
	var classes []Class
	for _, team := range []int{0, 1} {
		for route := range 3 {
			classes = append(classes, Class{Rank: RankOf(team, route), FirstEvent: 500 * time.Millisecond, EventGap: 250 * time.Millisecond})
		}
	}
	c.SetClasses(classes)
	for i, want := range []float64{0, 0, 0, 0, 0.35, 0.7} {
		got := c.Offer(Request{Rank: classes[i].Rank}).Limits().KVShare
		if want = 0.97 - 0.32*want; math.Abs(got-want) > 1e-9 {
			t.Errorf("class %d: share of the KV cache %.3f, want %.3f", i, got, want)
		}
	}
}
