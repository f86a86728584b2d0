package board

import (
	"slices"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
)

// Need is what a generation asks of a path.
type Need struct {
	Engine     *rules.Engine
	DataCentre string  // of the node
	Prompt     float64 // tokens to read
	Output     float64 // tokens that it is expected to write
	Exclude    []string
	Warm       func(*fleet.Upstream) bool // a connection to it is kept; nil if not known
	Patience   time.Duration              // longest time to the first event that is worth a start, or 0
	Pause      time.Duration              // longest pause between events that the caller is content with, or 0
}

// Estimate is the predicted course of a generation on a path.
type Estimate struct {
	First time.Duration // to its first event
	Pause time.Duration // between events
}

// Weights of the choice of a path.
const (
	roomReserve  = 0.97                  // share of an upstream's room that may be reserved
	scarcity     = 60 * time.Millisecond // cost of a part on an upstream without room left, for all layers
	crowding     = 2 * time.Millisecond  // cost of each request that would be lost with a part, for all layers
	variance     = 0.1                   // random part of a cost, so that nodes that know the same choose differently
	crossing     = 30 * time.Millisecond // cost of a path's step to another data centre, which a cut would break
	coldFirst    = 5 * time.Millisecond  // cost of a first part to which no connection is kept
	foreignFirst = 2 * time.Millisecond  // cost of a first part in another data centre, for the bytes between them
)

// Path picks the path with the least expected time that has room on each part, or returns nil. Each layer is
// run once and in order, each part on an upstream that holds it.
func (b *Board) Path(list []*fleet.Upstream, n *Need) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	whole := fleet.Range{From: 0, To: n.Engine.Layers}
	hops := b.search(list, n, whole, "", false)
	if hops == nil {
		hops = b.search(list, n, whole, "", true)
	}
	if hops == nil {
		return nil
	}
	t := &Ticket{board: b, Upstream: hops[0].Upstream, hops: hops, tokens: n.Prompt + n.Output, prompt: n.Prompt, layers: n.Engine.Layers}
	t.Expected = b.estimate(n, hops)
	if n.Patience > 0 && t.Expected.First > n.Patience {
		return nil
	}
	for _, h := range hops {
		b.hold(t, h, 1)
		t.reads(h, 1)
		b.state(KeyOf(h.Upstream)).try(b.now())
	}
	t.reading = slices.Clone(hops)
	t.cross(n.Engine, hops, hops)
	b.state(KeyOf(t.Upstream)).first++
	return t
}

// hold reserves a part's room with a sign of 1 or gives it back with -1.
func (b *Board) hold(t *Ticket, h Hop, sign int) {
	s := b.state(KeyOf(h.Upstream))
	s.running += sign
	s.held = max(0, s.held+float64(sign)*t.tokens*float64(h.Layers.Len()))
}

// Bypass changes a ticket's path so that the layers of parts that failed are run by other upstreams, and reserves
// room there. The first part can't be bypassed. It returns the path of before, or false if there is no way round.
func (t *Ticket) Bypass(list []*fleet.Upstream, n *Need, failed []string) ([]Hop, bool) {
	b := t.board
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.released {
		return nil, false
	}
	need := *n
	need.Exclude = slices.Concat(n.Exclude, failed)
	for _, h := range t.hops {
		need.Exclude = append(need.Exclude, h.Upstream.ID)
	}
	var hops []Hop
	for i, h := range t.hops {
		if i == 0 || !contains(failed, h.Upstream.ID) {
			hops = append(hops, h)
			continue
		}
		round := b.search(list, &need, h.Layers, t.hops[i-1].Upstream.DataCentre, false)
		if round == nil {
			return nil, false
		}
		for _, r := range round {
			need.Exclude = append(need.Exclude, r.Upstream.ID)
		}
		hops = append(hops, round...)
	}
	if len(hops) > mostParts {
		return nil, false
	}
	before := t.hops
	t.follow(n.Engine, hops)
	return before, true
}

// Restore puts a ticket back on a path of before.
func (t *Ticket) Restore(e *rules.Engine, hops []Hop) {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	if !t.released {
		t.follow(e, hops)
	}
}

// follow moves a ticket's reservations to another path. Parts that are new on it read all tokens of before.
func (t *Ticket) follow(e *rules.Engine, hops []Hop) {
	t.endReading()
	before := t.hops
	for _, h := range before {
		t.board.hold(t, h, -1)
	}
	t.hops = hops
	for _, h := range hops {
		t.board.hold(t, h, 1)
		if !slices.Contains(before, h) {
			t.reads(h, 1)
			t.reading = append(t.reading, h)
		}
	}
	t.cross(e, hops, t.reading)
}

// reads notes that a part has the ticket's prompt before it, with a sign of 1, or has read it, with -1.
func (t *Ticket) reads(h Hop, sign float64) {
	s := t.board.state(KeyOf(h.Upstream))
	s.reading = max(0, s.reading+sign*t.prompt*float64(h.Layers.Len()))
}

func (t *Ticket) endReading() {
	for _, h := range t.reading {
		t.reads(h, -1)
	}
	t.reading = nil
	t.endCrossing()
}

// mostParts is how many parts upstreams accept in a path.
const mostParts = 32

// place is a search state: all layers before layer are run, the last of them in a data centre.
type place struct {
	layer  int
	centre string
}

type step struct {
	cost float64 // ms
	from place
	hop  Hop
	done bool
}

// search runs Dijkstra's algorithm over layers and data centres, from a data centre that ran the layers before.
// Resting upstreams take part only where asked, and those that refuse others never.
func (b *Board) search(list []*fleet.Upstream, n *Need, span fleet.Range, centre string, resting bool) []Hop {
	usable := b.usable(list, n, resting)
	cuts := boundaries(usable, span)
	best := map[place]*step{{span.From, centre}: {}}
	pipes := make(map[[2]string]pipe)
	for {
		at, s := nearest(best)
		if s == nil {
			return nil
		}
		if at.layer == span.To {
			return unwind(best, at, span.From)
		}
		s.done = true
		for _, c := range usable {
			u := c.upstream
			if at.layer < u.Layers.From || at.layer >= u.Layers.To || isOn(best, at, u) {
				continue
			}
			for _, end := range cuts {
				if end <= at.layer || end > u.Layers.To {
					continue
				}
				layers := fleet.Range{From: at.layer, To: end}
				cost, ok := c.cost(n, layers, at.centre, b.pipeTo(pipes, n, at.centre, u.DataCentre))
				if !ok {
					continue
				}
				to := place{end, u.DataCentre}
				if known := best[to]; known == nil || !known.done && s.cost+cost < known.cost {
					best[to] = &step{cost: s.cost + cost, from: at, hop: Hop{u, layers}}
				}
			}
		}
	}
}

// isOn reports whether an upstream has a part already on the way to a place, other than the last: upstreams
// refuse a path that names one twice.
func isOn(best map[place]*step, at place, u *fleet.Upstream) bool {
	last := true
	for s := best[at]; s != nil && s.hop.Upstream != nil; s = best[s.from] {
		if s.hop.Upstream == u && !last {
			return true
		}
		last = last && s.hop.Upstream == u
	}
	return false
}

func nearest(best map[place]*step) (place, *step) {
	var at place
	var least *step
	for p, s := range best {
		if !s.done && (least == nil || s.cost < least.cost) {
			at, least = p, s
		}
	}
	return at, least
}

func unwind(best map[place]*step, at place, from int) []Hop {
	var hops []Hop
	for at.layer > from {
		s := best[at]
		if last := len(hops) - 1; last >= 0 && hops[last].Upstream == s.hop.Upstream {
			hops[last].Layers.From = s.hop.Layers.From
		} else {
			hops = append(hops, s.hop)
		}
		at = s.from
	}
	slices.Reverse(hops)
	return hops
}

// boundaries returns the layers of a span at which a part may end: where another upstream begins or one ends.
func boundaries(usable []candidate, span fleet.Range) []int {
	seen := map[int]bool{span.To: true}
	for _, c := range usable {
		seen[c.upstream.Layers.From] = true
		seen[c.upstream.Layers.To] = true
	}
	var cuts []int
	for i := span.From + 1; i <= span.To; i++ {
		if seen[i] {
			cuts = append(cuts, i)
		}
	}
	return cuts
}

// candidate is an upstream that may take a part, with what the cost of a part depends on.
type candidate struct {
	upstream *fleet.Upstream
	card     rules.Card
	room     float64 // tokens x layers that are free
	total    float64
	writers  float64
	reading  float64 // prompt tokens x layers before it
	cold     bool    // no connection to it is kept
	noFirst  bool    // its slots are taken
	chance   float64 // random factor on its costs
}

func (b *Board) usable(list []*fleet.Upstream, n *Need, resting bool) []candidate {
	now := b.now()
	var usable []candidate
	for _, u := range list {
		card, ok := n.Engine.Kinds[u.Card]
		if !ok || u.Draining || u.Layers.Len() == 0 || u.Layers.From < 0 || u.Layers.To > n.Engine.Layers || contains(n.Exclude, u.ID) {
			continue
		}
		s := b.state(KeyOf(u))
		if b.isOut(u, s, now) && (!resting || s.isRefusing(now)) {
			continue
		}
		card = b.cardOf(n.Engine, u, s)
		total := n.Engine.Room(card, u.Layers.Len()) * roomReserve
		usable = append(usable, candidate{
			upstream: u, card: card, total: total,
			room:    total - s.held - s.others.Held,
			writers: float64(s.running + s.others.Running),
			reading: s.reading + s.others.Reading,
			noFirst: s.first+s.others.First >= u.Slots,
			cold:    n.Warm != nil && u.Layers.From == 0 && !n.Warm(u),
			chance:  1 + variance*b.random.Float64(),
		})
	}
	return usable
}

// cardOf returns an upstream's card at its present pace.
func (b *Board) cardOf(e *rules.Engine, u *fleet.Upstream, s *state) rules.Card {
	card := e.Kinds[u.Card]
	slow := s.slowness(b.now())
	card.Pace *= slow
	card.Read *= slow
	return card
}

// cost returns the time in ms that a part adds to a generation, and whether the part has room.
func (c *candidate) cost(n *Need, layers fleet.Range, centre string, p pipe) (float64, bool) {
	need := (n.Prompt + n.Output) * float64(layers.Len())
	if need > c.room || layers.From == 0 && c.noFirst || p.shut {
		return 0, false
	}
	read, pass := c.times(n, layers, centre)
	read += p.wait
	fullness := 1 - c.room/c.total // the same for all parts, so that cutting a part in two gains nothing
	price := (float64(scarcity)*fullness*fullness + float64(crowding)*c.writers) * float64(layers.Len()) / float64(n.Engine.Layers)
	if layers.From == 0 && c.upstream.DataCentre != n.DataCentre {
		price += float64(foreignFirst)
	}
	if layers.From == 0 && c.cold {
		price += float64(coldFirst)
	}
	if crosses(centre, c.upstream.DataCentre) {
		price += float64(crossing)
	}
	passes := n.Output / float64(n.Engine.Stride)
	return c.chance * (float64(read) + passes*float64(pass) + price) / float64(time.Millisecond), true
}

// perPairs is the unit of an engine's Pairs.
const perPairs = 1e6

// times returns how long a part takes to read the prompt, with what waits before it, and for one pass.
func (c *candidate) times(n *Need, layers fleet.Range, centre string) (read, pass time.Duration) {
	e := n.Engine
	share := float64(layers.Len()) / float64(e.Layers)
	second := float64(time.Second)
	context := n.Prompt + n.Output/2
	rate := e.ReadRate(c.card, layers.Len(), c.writers, context)
	ahead := c.reading / float64(max(1, c.upstream.Layers.Len()))
	reading := (ahead+n.Prompt)/rate*second + float64(e.Pairs)*n.Prompt*n.Prompt/2/perPairs*c.card.Read*share
	pass = e.Pass(c.card, layers.Len(), c.writers+1, context)
	if crosses(centre, c.upstream.DataCentre) {
		pass += time.Duration(e.Stride) * e.Delay
		reading += float64(e.Delay + transfer(e, n.Prompt))
	}
	return time.Duration(reading) + pass, pass
}

// readBetween returns how long a part reads prompts between two of its passes.
func (c *candidate) readBetween(e *rules.Engine, layers fleet.Range) time.Duration {
	waiting := c.reading / float64(max(1, c.upstream.Layers.Len()))
	return e.Read(c.card, layers.Len(), min(waiting, e.Chunk*float64(e.Stride)))
}

const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// estimate predicts the course of a generation on a path.
func (b *Board) estimate(n *Need, hops []Hop) Estimate {
	var e Estimate
	centre := ""
	for _, h := range hops {
		s := b.state(KeyOf(h.Upstream))
		c := candidate{
			upstream: h.Upstream, card: b.cardOf(n.Engine, h.Upstream, s),
			writers: float64(s.running + s.others.Running), reading: s.reading + s.others.Reading,
		}
		read, pass := c.times(n, h.Layers, centre)
		e.First += read
		e.Pause += pass + c.readBetween(n.Engine, h.Layers)
		if crosses(centre, h.Upstream.DataCentre) {
			wait := b.pipeWait(n.Engine, centre, h.Upstream.DataCentre)
			e.First += wait
			e.Pause += wait
		}
		centre = h.Upstream.DataCentre
	}
	return e
}
