package admit

import (
	"math"
	"time"
)

// Parameters of the pace at which all nodes together call refused callers back.
const (
	// calledShare is the part of the fleet's admissions that is called back. The rest is left for the spread of the nodes' estimates:
	// at 1, up to 134 callers came back in a second in which the fleet admitted 100.
	calledShare = 0.9
	// maxCountsAge is how old what the counts of others cover may be: they are sent each 150 ms, pass up to two relays, and cover
	// countWindow. Until a shortage has lasted for so long they may date from before it.
	maxCountsAge = 900 * time.Millisecond
	// admittedTime is the time constant of the admissions. A request that is refused after a wait was offered in an earlier window, so that
	// offered less refused is too little for a moment when offers fall: at the end of a flood, half of the callers lost their return.
	admittedTime = 2 * time.Second
	// splitTime is the time constant of the split of unserved requests into those refused for the first time, refused again, and admitted
	// after a long wait. Callers come back some 6 s after they were refused, and the split has to follow them.
	splitTime = 2500 * time.Millisecond
	// splitSample is the number of unserved requests from which on the split is known. Without it all count as refused for the first time.
	splitSample = 2
	// leastAdmitted is the weight of a node's admissions over floorTime below which it knows of none.
	leastAdmitted = 0.5
)

// pace is what a node knows of the capacity for callers who come back.
type pace struct {
	split      split
	shortSince time.Time // when requests, of this node or of others, were first known to be unserved
	shortAt    time.Time // when they were last known to be
	called     float64   // callers of this node called back in the first maxCountsAge of the shortage
	admitted   float64   // requests that all nodes admit in a countWindow
	admittedAt time.Time
}

// split counts a node's unserved requests with exponentially falling weights.
type split struct {
	unserved, first, again float64 // first and again: refused for the first time, and after they came back
	at                     time.Time
}

func (s *split) decay(now time.Time) {
	f := math.Exp(-float64(now.Sub(s.at)) / float64(splitTime))
	s.unserved, s.first, s.again, s.at = s.unserved*f, s.first*f, s.again*f, now
}

func (s *split) addUnserved(now time.Time) {
	s.decay(now)
	s.unserved++
}

func (s *split) addRefused(isLate bool, now time.Time) {
	s.decay(now)
	if isLate {
		s.again++
	} else {
		s.first++
	}
}

// shares returns the parts of the unserved requests that are refused for the first time, and again.
func (s *split) shares() (first, again float64) {
	if s.unserved < splitSample {
		return 1, 0
	}
	return min(1, s.first/s.unserved), min(1, s.again/s.unserved)
}

// noteShortage records that requests are known to be unserved.
func (p *pace) noteShortage(now time.Time) {
	if now.Sub(p.shortAt) > peerTTL {
		p.shortSince, p.called = now, 0
	}
	p.shortAt = now
}

// classTotals is what all classes of a node, or of all nodes, were offered and left unserved, and what of it a class and the more urgent
// ones did.
type classTotals struct{ offered, unserved, above, own float64 }

func (c *Controller) totals(class int, now time.Time, count func(*classState, time.Time) Count) classTotals {
	var t classTotals
	for i, s := range c.classes {
		n := count(s, now)
		t.offered += float64(n.Offered)
		t.unserved += float64(n.Unserved)
		switch {
		case i < class:
			t.above += float64(n.Unserved)
		case i == class:
			t.own = float64(n.Unserved)
		}
	}
	return t
}

// callBack reports whether there is capacity for a refused caller of a class to come back, and whether requests are known to go unserved
// at all, beyond a single one.
//
// The capacity is what all nodes admit. It goes to the callers who were refused for the first time, the more urgent classes first, and what
// is left to those who came back before. All nodes compute the same share of a class from the same counts, and each calls back that share
// of its own callers.
func (c *Controller) callBack(class int, isLate bool, random float64, now time.Time) (isCalled, isShort bool) {
	c.update(now)
	c.pace.split.addRefused(isLate, now)
	all := c.totals(class, now, c.total)
	isNew := now.Sub(c.pace.shortSince) < maxCountsAge
	if all.unserved < leastEvident {
		c.pace.called++
		return true, false
	}
	share := 0.0
	if isNew { // the others' counts say nothing about it yet
		own := c.totals(class, now, (*classState).count)
		windows := max(1, float64(now.Sub(c.pace.shortSince))/float64(countWindow))
		share = c.shareOf(isLate, own, calledShare*c.admittedOf(own)*windows-c.pace.called)
	} else {
		c.followAdmitted(all, now)
		share = c.shareOf(isLate, all, calledShare*c.pace.admitted)
	}
	isCalled = c.classes[class].returns.draw(isLate, share, random)
	if isCalled && isNew {
		c.pace.called++
	}
	return isCalled, true
}

// admittedOf returns how many of the requests were admitted; some of the unserved ones were, after a long wait.
func (c *Controller) admittedOf(t classTotals) float64 {
	first, again := c.pace.split.shares()
	return max(0, t.offered-(first+again)*t.unserved)
}

// followAdmitted follows the admissions of all nodes.
func (c *Controller) followAdmitted(all classTotals, now time.Time) {
	p := &c.pace
	f := math.Exp(-float64(now.Sub(p.admittedAt)) / float64(admittedTime))
	p.admitted, p.admittedAt = p.admitted*f+c.admittedOf(all)*(1-f), now
}

// shareOf returns the share of the refused callers of a class for whom there is capacity.
func (c *Controller) shareOf(isLate bool, t classTotals, capacity float64) float64 {
	first, again := c.pace.split.shares()
	if isLate {
		return min(1, max(0, capacity-first*t.unserved)/max(1, again*t.unserved))
	}
	return min(1, max(0, capacity-first*t.above)/max(1, first*t.own))
}

// draw reports whether a caller is among the share that is called back. Each caller adds the share, and each whole one is called back:
// at 100 a second of all nodes this varies less than independent draws. Nodes begin at random.
func (r *returns) draw(isLate bool, share, random float64) bool {
	d := &r.due[0]
	if isLate {
		d = &r.due[1]
	}
	if !r.hasBegun {
		r.due, r.hasBegun = [2]float64{random, random}, true
	}
	if *d += share; *d >= 1 {
		*d--
		return true
	}
	return false
}
