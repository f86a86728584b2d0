package board

import (
	"cmp"
	"slices"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
)

// Need is what a generation requires of a path.
type Need struct {
	Engine          *rules.Engine
	DataCentre      string                     // the node's own
	PromptTokens    float64                    // tokens to prefill
	OutputTokens    float64                    // tokens that it is expected to generate
	Exclude         []string                   // IDs of upstreams
	HasConnection   func(*fleet.Upstream) bool // reports whether an idle connection to it is open; nil if unknown
	FirstEventLimit time.Duration              // a path with a later predicted first event is rejected; 0 for no limit
	EventGap        time.Duration              // objective for the time between events; 0 for none
	PipelinedLimit  time.Duration              // a path with a longer Estimate.Pipelined is rejected; 0 for no limit
	// EventGapLimit rejects a path with a longer predicted time between events, unless it is nearly idle; 0 for no limit.
	EventGapLimit time.Duration
	overLinks     bool    // links between data centres are taken for free, to find out whether they are what lacks
	KVShare       float64 // share of an upstream's KV cache that may be reserved; 0 for reservableShare
	LinkShare     float64 // share of the node's budget on a link between data centres that may be used; 0 for all
}

// kvShare returns the share of an upstream's KV cache that may be reserved.
func (n *Need) kvShare() float64 { return cmp.Or(n.KVShare, reservableShare) }

// Estimate holds the predicted latencies of a generation on a path.
type Estimate struct {
	FirstEvent time.Duration // time to the first event, if all prompts queue at each stage
	EventGap   time.Duration // time between events
	// Pipelined is the time to the first event if the stages work at the same time: a prompt waits for those ahead at the stage
	// with the longest queue only, as the others work theirs off meanwhile.
	Pipelined time.Duration
	slowest   *fleet.Upstream // of the stages, which adds most to the time between events
}

// Parameters of the choice of a path. Costs are added to the predicted time; those for all layers are scaled by the
// stage's share of the layers. The cost per request in flight stands for the streams that one failure would break.
const (
	reservableShare      = 0.97                  // share of an upstream's KV cache that may be reserved
	fullnessCost         = 60 * time.Millisecond // cost of an upstream without free KV cache, for all layers
	inFlightCost         = 2 * time.Millisecond  // cost for each request in flight on an upstream, for all layers
	costJitter           = 0.1                   // random share of a cost; nodes with equal state choose differently
	crossingCost         = 30 * time.Millisecond // cost of a step to another data centre, which a partition would break
	newConnectionCost    = 5 * time.Millisecond  // cost of a first stage to which no idle connection is open
	remoteFirstStageCost = 2 * time.Millisecond  // cost of a first stage in another data centre, for the bytes on the link
)

// Evidence is what a choice of a path rested on, for logs.
type Evidence struct {
	ViewAge     time.Duration // of what is known of the other nodes' requests
	Cost        float64       // of the path, in ms; infinite if there is none
	NextCost    float64       // of the cheapest path that ends in another data centre, in ms; 0 if there is none
	othersShare float64       // of the requests that arrive at all nodes
}

// Unseen returns how many requests the other nodes have sent of which the node did not know, as its view of them was old. The rate
// is that of the requests a second that arrive at all nodes.
func (e Evidence) Unseen(fleetRate float64) float64 {
	return fleetRate * e.ViewAge.Seconds() * e.othersShare
}

// ReservePath reserves the path with the least cost that has capacity on each stage, or returns nil if there is none. Where the time
// between events is limited, and the cheapest path is beyond a limit, the cheapest one around its slowest stage is taken.
// The stages run each layer once and in order, each on an upstream that holds its layers. Ejected upstreams are used
// only where there is no path without them.
func (b *Board) ReservePath(list []*fleet.Upstream, n *Need) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.find(list, n)
	hops, expected := f.hops, f.expected
	if hops == nil || !b.isWithin(n, hops, expected) {
		return nil
	}
	r := &Reservation{board: b, Upstream: hops[0].Upstream, hops: hops, tokens: n.PromptTokens + n.OutputTokens,
		promptTokens: n.PromptTokens, modelLayers: n.Engine.Layers, linkShare: n.LinkShare, Expected: expected, Evidence: b.evidenceOf(f.search)}
	if b.onChoice != nil {
		b.onChoice(b.choiceOf(n, f))
	}
	for _, h := range hops {
		b.addReservation(r, h, 1)
		r.addPrefill(h, 1)
		r.startProbe(b.state(KeyOf(h.Upstream)), b.now())
	}
	r.prefillHops = slices.Clone(hops)
	r.startCrossing(n.Engine, hops, hops)
	s := b.state(KeyOf(r.Upstream))
	s.firstStage++
	s.limit.Spend()
	return r
}

// found is the result of the searches for one request.
type found struct {
	search   *pathSearch
	hops     []Hop // nil if there is no path
	expected Estimate
}

// find searches the path for a request, which may be beyond its limits.
func (b *Board) find(list []*fleet.Upstream, n *Need) found {
	p, hops := b.searchWhole(list, n)
	expected := b.estimate(n, hops)
	if hops != nil && !b.isWithin(n, hops, expected) && n.EventGapLimit > 0 {
		around := *n
		around.Exclude = append(slices.Clone(n.Exclude), expected.slowest.ID)
		p, hops = b.searchWhole(list, &around)
		expected = b.estimate(n, hops)
	}
	return found{p, hops, expected}
}

// isWithin reports whether a path meets the limits.
func (b *Board) isWithin(n *Need, hops []Hop, expected Estimate) bool {
	return !exceeds(expected.FirstEvent, n.FirstEventLimit) && !exceeds(expected.Pipelined, n.PipelinedLimit) &&
		!b.wouldDelayEvents(n, hops, expected)
}

// exceeds reports whether a predicted time is beyond a limit, of which 0 is none.
func exceeds(d, limit time.Duration) bool { return limit > 0 && d > limit }

// minBusyRequests is the number of requests on a stage from which on the limit on the time between events holds. With fewer, the
// upstreams are slow rather than full, and a refusal would help nobody.
const minBusyRequests = 2

// wouldDelayEvents reports whether one more stream would stretch the time between the events of those on its path beyond the limit.
func (b *Board) wouldDelayEvents(n *Need, hops []Hop, expected Estimate) bool {
	if !exceeds(expected.EventGap, n.EventGapLimit) {
		return false
	}
	return slices.ContainsFunc(hops, func(h Hop) bool {
		s := b.state(KeyOf(h.Upstream))
		return s.inFlight+s.peerClaims.InFlight >= minBusyRequests
	})
}

// ageOfView returns how old the newest claims of other nodes are, at most the time for which they count.
func (b *Board) ageOfView() time.Duration {
	age := b.viewAge
	if !b.gossipAt.IsZero() {
		age += b.now().Sub(b.gossipAt)
	}
	return min(age, claimTTL)
}

// SetViewAge sets how old the claims in other nodes' gossip are in the mean when it arrives.
func (b *Board) SetViewAge(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.viewAge = d
}

// searchWhole searches the path with the least cost, and returns the search with its result, nil if there is none.
func (b *Board) searchWhole(list []*fleet.Upstream, n *Need) (*pathSearch, []Hop) {
	whole := fleet.Range{From: 0, To: n.Engine.Layers}
	p := b.newSearch(list, n, whole, "", false)
	hops := p.run()
	if hops == nil {
		p = b.newSearch(list, n, whole, "", true)
		hops = p.run()
	}
	return p, hops
}

// evidenceOf returns what a search rested on.
func (b *Board) evidenceOf(p *pathSearch) Evidence {
	e := Evidence{ViewAge: b.ageOfView(), othersShare: float64(b.nodes-1) / float64(b.nodes)}
	e.Cost, e.NextCost = p.endCosts()
	return e
}

// Shortage says why a request gets no path.
type Shortage struct {
	HasPath    bool          // there is one with room on each stage
	FirstEvent time.Duration // predicted on the cheapest such path
	Pipelined  time.Duration // likewise, the first event as Estimate.Pipelined
	EventGap   time.Duration // likewise
	LinksFull  bool          // there is none, but would be one if links between data centres had capacity for the prompt
	Evidence   Evidence
}

// ShortageOf returns what there is for a request whose path would be too slow, or that finds no room.
func (b *Board) ShortageOf(list []*fleet.Upstream, n *Need) Shortage {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, hops := b.searchWhole(list, n)
	if hops == nil {
		over := *n
		over.overLinks = true
		_, detour := b.searchWhole(list, &over)
		return Shortage{LinksFull: detour != nil, Evidence: b.evidenceOf(p)}
	}
	expected := b.estimate(n, hops)
	return Shortage{HasPath: true, FirstEvent: expected.FirstEvent, Pipelined: expected.Pipelined, EventGap: expected.EventGap, Evidence: b.evidenceOf(p)}
}

// addReservation reserves the capacity of a stage if sign is 1, and releases it if sign is -1.
func (b *Board) addReservation(r *Reservation, h Hop, sign int) {
	s := b.state(KeyOf(h.Upstream))
	s.inFlight += sign
	s.reserved = max(0, s.reserved+float64(sign)*r.tokens*float64(h.Layers.Len()))
}

// Bypass changes the path so that other upstreams run the layers of the failed stages, and reserves capacity there.
// The first stage can't be bypassed. It returns the previous path, or false if there is no detour.
func (r *Reservation) Bypass(list []*fleet.Upstream, n *Need, failed []string) ([]Hop, bool) {
	b := r.board
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.released {
		return nil, false
	}
	need := *n
	need.Exclude = slices.Concat(n.Exclude, failed)
	for _, h := range r.hops {
		need.Exclude = append(need.Exclude, h.Upstream.ID)
	}
	var hops []Hop
	for i, h := range r.hops {
		if i == 0 || !contains(failed, h.Upstream.ID) {
			hops = append(hops, h)
			continue
		}
		detour := b.search(list, &need, h.Layers, r.hops[i-1].Upstream.DataCentre, false)
		if detour == nil {
			return nil, false
		}
		for _, d := range detour {
			need.Exclude = append(need.Exclude, d.Upstream.ID)
		}
		hops = append(hops, detour...)
	}
	if len(hops) > maxStages {
		return nil, false
	}
	previous := r.hops
	r.switchTo(n.Engine, hops)
	return previous, true
}

// Restore returns to a previous path.
func (r *Reservation) Restore(e *rules.Engine, hops []Hop) {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	if !r.released {
		r.switchTo(e, hops)
	}
}

// switchTo moves the reservations to another path. Stages that are new on it prefill all tokens again.
func (r *Reservation) switchTo(e *rules.Engine, hops []Hop) {
	r.endPrefill()
	previous := r.hops
	for _, h := range previous {
		r.board.addReservation(r, h, -1)
	}
	r.hops = hops
	for _, h := range hops {
		r.board.addReservation(r, h, 1)
		if !slices.Contains(previous, h) {
			r.addPrefill(h, 1)
			r.prefillHops = append(r.prefillHops, h)
		}
	}
	r.startCrossing(e, hops, r.prefillHops)
}

// addPrefill adds the prompt to the prefill work of a stage if sign is 1, and removes it if sign is -1.
func (r *Reservation) addPrefill(h Hop, sign float64) {
	s := r.board.state(KeyOf(h.Upstream))
	s.prefill = max(0, s.prefill+sign*r.promptTokens*float64(h.Layers.Len()))
}

func (r *Reservation) endPrefill() {
	for _, h := range r.prefillHops {
		r.addPrefill(h, -1)
	}
	r.prefillHops = nil
	r.endCrossing()
}

// maxStages is the number of stages in a path that upstreams accept.
const maxStages = 32

// candidate is an upstream that may run a stage, with its load.
type candidate struct {
	upstream        *fleet.Upstream
	card            rules.Card
	free            float64   // tokens x layers of KV cache that are not reserved
	capacity        float64   // tokens x layers of KV cache that may be reserved
	decoding        float64   // requests in flight on it, all taken to be decoding
	prefill         float64   // prompt tokens x layers that it has not prefilled yet
	needsConnection bool      // no idle connection to it is open
	slotsFull       bool      // it accepts no more requests as first stage now
	jitter          float64   // random factor on its costs
	costs           []float64 // of its stages by their number of layers, in ms; 0 if not computed yet
}

// usable returns the upstreams that may run a stage, with their load.
func (b *Board) usable(list []*fleet.Upstream, n *Need, useEjected bool) []candidate {
	now := b.now()
	var usable []candidate
	for _, u := range list {
		if n.unfit(u) != "" {
			continue
		}
		s := b.state(KeyOf(u))
		if b.unavailable(u, s, now, useEjected) != "" {
			continue
		}
		card := b.cardOf(n.Engine, u, s)
		capacity := n.Engine.KVCapacity(card, u.Layers.Len()) * n.kvShare()
		usable = append(usable, candidate{
			upstream: u, card: card, capacity: capacity,
			free:            capacity - s.reserved - s.peerClaims.Reserved,
			decoding:        float64(s.inFlight + s.peerClaims.InFlight),
			prefill:         s.prefill + s.peerClaims.Prefill,
			slotsFull:       s.firstStage+s.peerClaims.FirstStage >= u.Slots || u.Layers.From == 0 && !b.withinLimit(s, now),
			needsConnection: n.HasConnection != nil && u.Layers.From == 0 && !n.HasConnection(u),
			jitter:          1 + costJitter*b.random.Float64(),
		})
	}
	return usable
}

// unfit returns why an upstream can't run a stage for a request whatever its state, or "".
func (n *Need) unfit(u *fleet.Upstream) Reason {
	_, ok := n.Engine.Cards[u.Card]
	switch {
	case u.Draining:
		return Draining
	case !ok || u.Layers.Len() == 0 || n.Engine.CheckLayers(u.Layers) != nil:
		return OtherLayers
	case contains(n.Exclude, u.ID):
		return Failed
	}
	return ""
}

// unavailable returns why an upstream may get no request now, or "".
func (b *Board) unavailable(u *fleet.Upstream, s *upstreamState, now time.Time, useEjected bool) Reason {
	switch {
	case b.isWithheld(s, now):
		return AtRest
	case !b.isExcluded(u, s, now):
		return ""
	case b.isRefusing(s, now):
		return InDoubt
	case !useEjected:
		return Ejected
	}
	return ""
}

// cardOf returns the speeds of an upstream's card, with the slowdown that it reported.
func (b *Board) cardOf(e *rules.Engine, u *fleet.Upstream, s *upstreamState) rules.Card {
	card := e.Cards[u.Card]
	slowdown := s.currentSlowdown(b.now())
	card.DecodeFactor *= slowdown
	card.PrefillFactor *= slowdown
	return card
}

// tokenPairsPerUnit is the number of token pairs that an engine's attention time is given for.
const tokenPairsPerUnit = 1e6

// times returns the time until a stage's first output, which is that of queueing, prefill and one pass; the time of queueing in
// it; and the time of one pass.
func (c *candidate) times(n *Need, layers fleet.Range, from string) (prefill, queueing, pass time.Duration) {
	e := n.Engine
	share := float64(layers.Len()) / float64(e.Layers)
	nsPerSecond := float64(time.Second)
	context := n.PromptTokens + n.OutputTokens/2
	prefillRate := e.PrefillRate(c.card, layers.Len(), c.decoding, context)
	queued := c.prefill / float64(max(1, c.upstream.Layers.Len()))
	prefillNs := (queued+n.PromptTokens)/prefillRate*nsPerSecond +
		float64(e.AttentionTime)*n.PromptTokens*n.PromptTokens/2/tokenPairsPerUnit*c.card.PrefillFactor*share
	pass = e.PassTime(c.card, layers.Len(), c.decoding+1, context)
	if crosses(from, c.upstream.DataCentre) {
		pass += time.Duration(e.StepsPerPass) * e.LinkDelay
		prefillNs += float64(e.LinkDelay + transferTime(e, n.PromptTokens))
	}
	return time.Duration(prefillNs) + pass, time.Duration(queued / prefillRate * nsPerSecond), pass
}

// prefillPerPass returns how long a stage prefills queued prompts between two of its passes.
func (c *candidate) prefillPerPass(e *rules.Engine, layers fleet.Range) time.Duration {
	queued := c.prefill / float64(max(1, c.upstream.Layers.Len()))
	return e.PrefillTime(c.card, layers.Len(), min(queued, e.PrefillChunk*float64(e.StepsPerPass)))
}

const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// estimate predicts the latencies of a generation on a path.
func (b *Board) estimate(n *Need, hops []Hop) Estimate {
	var e Estimate
	var allQueueing, longestQueueing, longestPass time.Duration
	from := ""
	for _, h := range hops {
		s := b.state(KeyOf(h.Upstream))
		c := candidate{
			upstream: h.Upstream, card: b.cardOf(n.Engine, h.Upstream, s),
			decoding: float64(s.inFlight + s.peerClaims.InFlight), prefill: s.prefill + s.peerClaims.Prefill,
		}
		prefill, queueing, pass := c.times(n, h.Layers, from)
		e.FirstEvent += prefill
		allQueueing += queueing
		longestQueueing = max(longestQueueing, queueing)
		pass += c.prefillPerPass(n.Engine, h.Layers)
		e.EventGap += pass
		if pass >= longestPass {
			longestPass, e.slowest = pass, h.Upstream
		}
		if crosses(from, h.Upstream.DataCentre) {
			wait := b.linkWait(n.Engine, from, h.Upstream.DataCentre)
			e.FirstEvent += wait
			e.EventGap += wait
		}
		from = h.Upstream.DataCentre
	}
	e.Pipelined = e.FirstEvent - allQueueing + longestQueueing
	return e
}
