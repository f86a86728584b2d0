package admit

import (
	"slices"
	"sync"
	"time"
)

// Parameters of levels.
const (
	countWindow = 500 * time.Millisecond // of the counts that nodes exchange
	// longWaitShare is the part of its class's objective after which a waiting request counts as unserved; longWait is that time
	// without an objective.
	longWaitShare = 0.5
	longWait      = 250 * time.Millisecond
	fullLevelAt   = 0.2         // share of missing room, of the more urgent requests or the own ones, at which the level of a class is 1
	levelFall     = time.Second // in which a level falls from 1 to 0
	peerTTL       = time.Second // after which the counts of another node expire
	leastEvident  = 2           // unserved requests that raise a level; a single one may be too large for any path, and upholds it
)

// Limits at the ends of the range of narrowing, as factors on objectives and as shares of the KV cache.
const (
	// FirstEventShare is the predicted time to the first event that a class may reach, in objectives: the prediction overstates the
	// time about three times near the limit.
	FirstEventShare = 1.5
	// meanGapShare is the part of the objective for the time between events that the predicted mean may reach: the longest gap of
	// a stream is about one and a half times the mean, and beyond the objective for three in ten streams at this share.
	meanGapShare     = 0.9
	narrowFirstEvent = 0.4
	narrowEventGap   = 0.35
	wideKVShare      = 0.97
	narrowKVShare    = 0.65
	// narrowLinkShare is the least share of a link budget that a class may use: narrowing closes no class.
	narrowLinkShare = 0.1
	// usualNarrowing is how far the class of the least urgent route is narrowed at level 0. Streams hold their room for seconds, so
	// that without a reserve the more urgent classes find none at the beginning of a burst, whatever the level does then.
	usualNarrowing = 0.7
)

// Controller decides for the requests of one service. It is safe for concurrent use.
type Controller struct {
	service string
	now     func() time.Time
	demand  Demand // nil for none

	mu      sync.Mutex
	classes []*classState // by rank, the most urgent first
	peers   map[string]peerCounts
	floors  floors
	// startTime is that of all classes together, as a class may have few requests at one node.
	startTime  startTime
	pace       pace
	unservedAt time.Time // when requests, of this node or of others, were last known to be unserved
}

// classState is the state of one class.
type classState struct {
	Class
	hash      uint32
	offered   window
	unserved  window
	level     float64
	narrowing float64 // at level 0
	updatedAt time.Time
	sizes     sizeEstimate
	returns   returns
	startTime startTime
	waiting   []*Ticket // by arrival; may hold tickets that have ended
}

// peerCounts holds the latest counts received from one node, or from a relay for several nodes.
type peerCounts struct {
	counts     map[uint32]Count
	receivedAt time.Time
}

// Option configures a Controller.
type Option func(*Controller)

// WithClock sets the source of time.
func WithClock(now func() time.Time) Option { return func(c *Controller) { c.now = now } }

// Demand records the demand for services at this node.
type Demand interface {
	Offer(service string, tokens float64)
	Admit(service string)
	Unserved(service string, tokens float64)
}

// WithDemand records the demand that the controller sees.
func WithDemand(d Demand) Option { return func(c *Controller) { c.demand = d } }

// New returns a controller for a service that has no classes yet.
func New(service string, opts ...Option) *Controller {
	c := &Controller{service: service, now: time.Now, peers: make(map[string]peerCounts)}
	for _, o := range opts {
		o(c)
	}
	c.floors.init()
	return c
}

// SetClasses sets the classes of a configuration. The counts and levels of classes that stay are kept.
func (c *Controller) SetClasses(classes []Class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[Rank]*classState, len(c.classes))
	for _, s := range c.classes {
		known[s.Rank] = s
	}
	c.classes = make([]*classState, 0, len(classes))
	for _, class := range classes {
		s := known[class.Rank]
		if s == nil {
			s = &classState{hash: ClassHash(c.service, class.Rank), updatedAt: c.now()}
		}
		s.Class = class
		c.classes = append(c.classes, s)
	}
	slices.SortFunc(c.classes, func(a, b *classState) int { return a.Rank.Compare(b.Rank) })
	c.setNarrowing()
}

// classOf returns the index of a rank's class. A request of a class that the latest configuration no longer has counts as one of
// the next less urgent class.
func (c *Controller) classOf(r Rank) int {
	for i, s := range c.classes {
		if r.Compare(s.Rank) <= 0 {
			return i
		}
	}
	return len(c.classes) - 1
}

// Ticket is one request from its arrival until it is admitted, refused or abandoned.
type Ticket struct {
	controller *Controller
	request    Request
	arrivedAt  time.Time
	isLarge    bool // among the largest tenth of its class
	isUnserved bool // has been counted as such
	hasEnded   bool
	isLate     bool // has missed its objective before it arrived
}

// IsLate reports whether the request has missed its objective before it arrived, as its caller was refused before.
func (t *Ticket) IsLate() bool { return t.isLate }

// Offer records the arrival of a request.
func (c *Controller) Offer(q Request) *Ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &Ticket{controller: c, request: q, arrivedAt: c.now()}
	if i := c.classOf(q.Rank); i >= 0 {
		s := c.classes[i]
		s.offered.add(t.arrivedAt)
		s.waiting = append(s.waiting, t)
		t.isLarge = s.sizes.add(q.Tokens)
		t.isLate = c.isLate(s, q.Left)
		c.addStart(s, q.Left, t.arrivedAt)
		if c.demand != nil {
			c.demand.Offer(c.service, q.Tokens)
		}
	}
	c.floors.offer(t, t.arrivedAt)
	return t
}

// Limits returns the limits for the request as of now.
func (t *Ticket) Limits() Limits {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	i := c.classOf(t.request.Rank)
	if i < 0 {
		return Limits{KVShare: wideKVShare}
	}
	c.update(now)
	l := Limits{Raised: c.floors.isBelow(t, now), Level: c.classes[i].level, Age: c.viewAge(now)}
	narrowing := max(l.Level, c.classes[i].narrowing)
	if l.Raised {
		narrowing = 0
	}
	l.FirstEvent = scale(time.Duration(FirstEventShare*float64(c.firstEventLimit(i))), narrowing, narrowFirstEvent)
	l.EventGap = scale(time.Duration(meanGapShare*float64(c.classes[i].EventGap)), narrowing, narrowEventGap)
	l.KVShare, l.LinkShare = wideKVShare+narrowing*(narrowKVShare-wideKVShare), max(narrowLinkShare, 1-narrowing)
	if i == 0 { // for whom the rest of the budget is kept
		l.LinkShare = 1
	}
	return l
}

// scale returns an objective without narrowing, and a factor of it with narrowing 1.
func scale(objective time.Duration, narrowing, factor float64) time.Duration {
	return time.Duration(float64(objective) * (1 + narrowing*(factor-1)))
}

// setNarrowing sets how far each class is narrowed at level 0, by the priority of its route. No class is narrowed more than a less
// urgent one, so that a team with a higher priority gets the room that is kept from others.
func (c *Controller) setNarrowing() {
	var priorities []int
	for _, s := range c.classes {
		priorities = append(priorities, s.Rank.Secondary)
	}
	slices.Sort(priorities)
	priorities = slices.Compact(priorities)
	for _, s := range c.classes {
		position := slices.Index(priorities, s.Rank.Secondary)
		s.narrowing = usualNarrowing * float64(position) / float64(max(1, len(priorities)-1))
	}
	for i := len(c.classes) - 2; i >= 0; i-- {
		c.classes[i].narrowing = min(c.classes[i].narrowing, c.classes[i+1].narrowing)
	}
}

// firstEventLimit returns the least objective of a class and the more urgent ones, so that a class with a longer objective does not
// fill the upstreams' prefill queues beyond what the others can bear; 0 if none has an objective.
func (c *Controller) firstEventLimit(class int) time.Duration {
	var least time.Duration
	for _, s := range c.classes[:class+1] {
		if s.FirstEvent > 0 && (least == 0 || s.FirstEvent < least) {
			least = s.FirstEvent
		}
	}
	return least
}

// Admit ends the ticket of a request that got capacity.
func (t *Ticket) Admit() { t.end(true, false) }

// Refuse ends the ticket of a request that is refused for lack of capacity.
func (t *Ticket) Refuse() { t.end(false, true) }

// Abandon ends the ticket of a request that was given up for another reason, such as a caller who left.
func (t *Ticket) Abandon() { t.end(false, false) }

func (t *Ticket) end(admitted, unserved bool) {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.hasEnded {
		return
	}
	now := c.now()
	c.countLongWaits(now)
	t.hasEnded = true
	if i := c.classOf(t.request.Rank); admitted && i >= 0 {
		c.classes[i].returns.admitted.add(now)
		if c.demand != nil {
			c.demand.Admit(c.service)
		}
	}
	if unserved {
		c.countUnserved(t, now)
	}
	c.floors.end(t, admitted, unserved, now)
}

// countUnserved counts a request as unserved, once.
func (c *Controller) countUnserved(t *Ticket, now time.Time) {
	if i := c.classOf(t.request.Rank); i >= 0 && !t.isUnserved {
		t.isUnserved = true
		c.classes[i].unserved.add(now)
		c.pace.split.addUnserved(now)
		c.pace.noteShortage(now)
		if c.demand != nil {
			c.demand.Unserved(c.service, t.request.Tokens)
		}
	}
}

// countLongWaits counts the requests that have waited for long, and forgets those that have ended.
func (c *Controller) countLongWaits(now time.Time) {
	for _, s := range c.classes {
		for len(s.waiting) > 0 {
			t := s.waiting[0]
			if !t.hasEnded {
				if now.Sub(t.arrivedAt) <= s.longWait() {
					break
				}
				c.countUnserved(t, now)
			}
			s.waiting[0] = nil
			s.waiting = s.waiting[1:]
		}
	}
}

// longWait returns how long a request of the class waits before it counts as unserved.
func (s *classState) longWait() time.Duration {
	if s.FirstEvent > 0 {
		return time.Duration(longWaitShare * float64(s.FirstEvent))
	}
	return longWait
}

// update raises and lowers the levels by what is known now.
func (c *Controller) update(now time.Time) {
	c.countLongWaits(now)
	c.expirePeers(now)
	totals := make([]Count, len(c.classes))
	for i, s := range c.classes {
		totals[i] = c.total(s, now)
	}
	var above Count // of the more urgent classes
	for i, s := range c.classes {
		since := now.Sub(s.updatedAt)
		target := 0.0
		if missing := float64(above.Unserved) - spareOf(totals[i+1:]); missing > 0 {
			target = min(1, missing/float64(max(above.Offered, above.Unserved, totals[i].Offered))/fullLevelAt)
		}
		switch {
		case above.Unserved >= leastEvident:
		case since <= countWindow:
			// A node that is cut off has few requests in a window: a single unserved one raises no level, but upholds it.
			target = min(target, s.level)
		default:
			target = 0
		}
		s.level, s.updatedAt = max(0, target, s.level-float64(since)/float64(levelFall)), now
		above.Offered += totals[i].Offered
		above.Unserved += totals[i].Unserved
	}
	if above.Unserved > 0 {
		c.unservedAt = now
		c.pace.noteShortage(now)
	}
}

// spareOf returns how many requests of the less urgent classes were served beyond the floors of these. They give way before a class does,
// so that few unserved requests of a small class don't close a large one.
func spareOf(lessUrgent []Count) float64 {
	spare := 0.0
	for _, n := range lessUrgent {
		spare += max(0, (1-classFloor)*float64(n.Offered)-float64(n.Unserved))
	}
	return spare
}

// count returns the counts of a class at this node.
func (s *classState) count(now time.Time) Count {
	return Count{s.offered.count(now), s.unserved.count(now)}
}

// total returns the counts of a class at this node and, as far as they are known, at all others.
func (c *Controller) total(s *classState, now time.Time) Count {
	sum := s.count(now)
	for _, p := range c.peers {
		sum.Offered += p.counts[s.hash].Offered
		sum.Unserved += p.counts[s.hash].Unserved
	}
	return sum
}

// viewAge returns how old the oldest counts of other nodes are.
func (c *Controller) viewAge(now time.Time) time.Duration {
	var age time.Duration
	for _, p := range c.peers {
		age = max(age, now.Sub(p.receivedAt))
	}
	return age
}

// Counts returns this node's counts by ClassHash, to be sent to the other nodes.
func (c *Controller) Counts() map[uint32]Count { return CountsOf([]*Controller{c}) }

// counts returns the counts of the classes with requests, by rank.
func (c *Controller) counts() []classCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.countLongWaits(now)
	counts := make([]classCount, 0, len(c.classes))
	for _, s := range c.classes {
		if n := s.count(now); n.Offered+n.Unserved > 0 {
			counts = append(counts, classCount{hash: s.hash, Count: n})
		}
	}
	return counts
}

// Merge stores the counts that another node, or a relay for several nodes, reported for the latest window.
func (c *Controller) Merge(node string, counts map[uint32]Count) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.peers[node] = peerCounts{counts, now}
	for _, s := range c.classes {
		if counts[s.hash].Unserved > 0 {
			c.pace.noteShortage(now)
		}
	}
	c.expirePeers(now)
}

// expirePeers drops the counts of nodes that have been silent for peerTTL.
func (c *Controller) expirePeers(now time.Time) {
	for node, p := range c.peers {
		if now.Sub(p.receivedAt) > peerTTL {
			delete(c.peers, node)
		}
	}
}

// Level returns the level of the least urgent class, for metrics.
func (c *Controller) Level() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.classes) == 0 {
		return 0
	}
	c.update(c.now())
	return c.classes[len(c.classes)-1].level
}
