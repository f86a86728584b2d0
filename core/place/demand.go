package place

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"rhubarbspread/core/demand"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
)

// Parameters of moves for demand.
const (
	// shortTime is how long a data centre has to lack room before an upstream is moved for it. A move costs a load of seconds, and
	// rates are measured over three.
	shortTime = 3 * time.Second
	// minRoomGain is the least factor on the room of the narrowest layer. A tenth is what a plan may lose (docs/design/load.md, C).
	minRoomGain = 1.1
	// minSpeedKept is the share of the speed of the slowest layer that a move leaves at least, likewise.
	minSpeedKept = 0.9
	// minDemandGain is the least gain in value for each layer to load, which keeps rounding from moving upstreams to and fro. A layer with
	// the mean room and speed has the value -1.5.
	minDemandGain = 0.01
)

// serviceDemand is the demand for one service, as far as it is known.
type serviceDemand struct {
	service      string
	byDataCentre map[string]demand.Entry
}

// WithDemand lets the planner move upstreams to the narrowest layers of data centres that lack room for the service. Data centres
// that are left out are planned for as without it.
func WithDemand(service string, byDataCentre map[string]demand.Entry) Option {
	return func(o *options) { o.demand = serviceDemand{service, byDataCentre} }
}

// shortage names a data centre that lacks room for a service.
type shortage struct{ service, dataCentre string }

// shortPeriod is a time of shortage that has not ended.
type shortPeriod struct{ since, seenAt time.Time }

// shortCentres records which data centres lack room, and returns those that have lacked it for shortTime, the one with the largest
// share of unserved tokens first. What is unknown is forgotten at once.
func (p *Planner) shortCentres(d serviceDemand) []string {
	now := p.now()
	maps.DeleteFunc(p.shortSince, func(s shortage, period shortPeriod) bool {
		// A service that has left the scope is not asked about any more.
		return s.service == d.service && !d.byDataCentre[s.dataCentre].IsShort() || now.Sub(period.seenAt) >= shortTime
	})
	var short []string
	for dataCentre, e := range d.byDataCentre {
		s := shortage{d.service, dataCentre}
		if !e.IsShort() {
			continue
		}
		period, ok := p.shortSince[s]
		if !ok {
			period.since = now
		}
		period.seenAt = now
		p.shortSince[s] = period
		if now.Sub(period.since) >= shortTime {
			short = append(short, dataCentre)
		}
	}
	slices.Sort(short)
	slices.SortStableFunc(short, func(a, b string) int {
		return cmp.Compare(d.byDataCentre[b].UnservedShare(), d.byDataCentre[a].UnservedShare())
	})
	return short
}

// fillForDemand gives the empty upstreams of data centres that lack room balanced ranges, each with a layer that is narrowest there
// without it. Data centres that would not hold the whole model keep their moves.
func fillForDemand(e *rules.Engine, members []Member, moves []Move, short []string, o options) {
	if len(short) == 0 || len(moves) == 0 {
		return
	}
	if !o.balances || !e.HasUnevenCards() { // otherwise the plan has done so
		balance(e, slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !slices.Contains(short, m.DataCentre) }), moves)
	}
	planned := slices.Clone(members)
	index := make(map[string]int, len(planned))
	for i, m := range planned {
		index[m.ID] = i
	}
	for _, m := range moves {
		planned[index[m.ID]].Layers = m.Layers
	}
	for i, move := range moves {
		m := &planned[index[move.ID]]
		if !slices.Contains(short, m.DataCentre) {
			continue
		}
		m.Layers = fleet.Range{}
		m.Layers = newDemandSearch(e, planned, m.DataCentre, o).fill(*m, move.Layers)
		moves[i].Layers = m.Layers
	}
}

// fill returns the range for an empty upstream: the planned one if it has a layer that is narrowest now, or else the best with one.
func (s *demandSearch) fill(m Member, planned fleet.Range) fleet.Range {
	const rounding = 1e-9
	if !s.balancer.isComplete() {
		return planned
	}
	narrowest, room, _, _ := s.least()
	if slices.ContainsFunc(s.balancer.layers[planned.From:planned.To], func(l layerRoom) bool { return l.tokens <= room*(1+rounding) }) {
		return planned
	}
	s.isFree = true
	best, bestValue := planned, math.Inf(-1)
	for _, r := range s.ranges(m) {
		if !contains(r, narrowest) {
			continue
		}
		m.Layers = r
		s.balancer.add(m, 1)
		_, _, _, value := s.least()
		s.balancer.add(m, -1)
		if value > bestValue {
			best, bestValue = r, value
		}
	}
	return best
}

// moveForDemand returns a move within the first data centre that lacks room and has some to spare in another range.
func (p *Planner) moveForDemand(e *rules.Engine, candidates []Member, short []string, o options) (Move, bool) {
	if len(short) == 0 || slices.Equal(candidates, p.demandMembers) && slices.Equal(short, p.demandCentres) {
		return Move{}, false
	}
	for _, dataCentre := range short {
		m, ok := newDemandSearch(e, candidates, dataCentre, o).run()
		if !ok {
			continue
		}
		entry := o.demand.byDataCentre[dataCentre]
		p.demandMoves.Add(1)
		p.log.Info("demand-move", "service", o.demand.service, "data-centre", dataCentre, "upstream", m.ID, "from", m.Layers.From, "to", m.Layers.To,
			"least-room", int(m.before), "least-room-after", int(m.after), "unserved-share", entry.UnservedShare(), "age-ms", entry.Age.Milliseconds())
		return m.Move, true
	}
	p.demandMembers, p.demandCentres = candidates, short
	return Move{}, false
}

// DemandMoves returns how many upstreams were moved for demand.
func (p *Planner) DemandMoves() int64 { return p.demandMoves.Load() }

// demandMove is a move with the room in tokens, before and after it, of the layer that was narrowest in its data centre.
type demandMove struct {
	Move
	before, after float64
}

// demandSearch looks for a move within a data centre that raises the room of its narrowest layer.
type demandSearch struct {
	engine   *rules.Engine
	balancer *balancer
	members  []Member // of the data centre
	coverage *layerCoverage
	share    float64 // of a card's memory for layers
	isFree   bool    // ranges may have any length that a balanced plan gives them
}

func newDemandSearch(e *rules.Engine, members []Member, dataCentre string, o options) *demandSearch {
	s := &demandSearch{engine: e, balancer: newBalancer(e), coverage: coverageOf(e, members),
		share: layerShares(e, members)[dataCentre], isFree: o.balances && e.HasUnevenCards()}
	for _, m := range members {
		if m.DataCentre == dataCentre {
			s.members = append(s.members, m)
			s.balancer.add(m, 1)
		}
	}
	return s
}

// least returns the narrowest layer, its room in tokens, the speed of the slowest layer, and the value of all layers.
func (s *demandSearch) least() (layer int, tokens, speed, value float64) {
	tokens, speed = math.Inf(1), math.Inf(1)
	for i, l := range s.balancer.layers {
		if l.tokens < tokens {
			layer, tokens = i, l.tokens
		}
		speed = min(speed, l.speed)
		value += s.balancer.value(l)
	}
	return layer, tokens, speed, value
}

// run returns the move that gains most for each layer to load, among those that raise the narrowest layer's room by minRoomGain and
// leave as much to each layer that the upstream held. Gains are those of balanced ranges. Other layers may be as narrow, so the least room
// of all is not what has to rise. A data centre that does not hold the whole model has gaps, which plans fill.
func (s *demandSearch) run() (demandMove, bool) {
	if !s.balancer.isComplete() {
		return demandMove{}, false
	}
	narrowest, room, slowest, value := s.least()
	var best demandMove
	bestGain := 0.0
	for _, m := range s.members {
		if !m.Available || m.Layers.Len() == 0 || contains(m.Layers, narrowest) {
			continue
		}
		s.balancer.add(m, -1)
		for _, r := range s.ranges(m) {
			if !contains(r, narrowest) {
				continue
			}
			moved := m
			moved.Layers = r
			s.balancer.add(moved, 1)
			_, _, speed, after := s.least()
			raised, hasSpare := s.balancer.layers[narrowest].tokens, s.hasRoom(m.Layers, minRoomGain*room)
			s.balancer.add(moved, -1)
			gain := (after - value) / float64(r.Len()-overlap(r, m.Layers))
			if hasSpare && raised >= minRoomGain*room && speed >= minSpeedKept*slowest && gain > bestGain*(1+1e-9) && !s.isUndone(m, r) {
				best, bestGain = demandMove{Move{m.ID, r}, room, raised}, gain
			}
		}
		s.balancer.add(m, 1)
	}
	return best, bestGain > minDemandGain
}

// hasRoom reports whether each layer of a range has some room.
func (s *demandSearch) hasRoom(r fleet.Range, tokens float64) bool {
	return !slices.ContainsFunc(s.balancer.layers[r.From:r.To], func(l layerRoom) bool { return l.tokens < tokens })
}

func contains(r fleet.Range, layer int) bool { return r.From <= layer && layer < r.To }

// ranges returns the ranges that an upstream may hold instead.
func (s *demandSearch) ranges(m Member) []fleet.Range {
	if !s.isFree {
		return candidateRanges(s.engine, m, s.share)
	}
	shortest := int(minBalancedShare * m.Card.SizeMB / s.engine.LayerMB)
	longest := min(s.engine.MaxLayers(m.Card), int(maxBalancedShare*m.Card.SizeMB/s.engine.LayerMB))
	var list []fleet.Range
	for i, from := range s.balancer.bounds {
		for _, to := range s.balancer.bounds[i+1:] {
			if to-from >= shortest && to-from <= longest {
				list = append(list, fleet.Range{From: from, To: to})
			}
		}
	}
	return list
}

// isUndone reports whether rebalancing would move the upstream back, so that it would load time and again.
func (s *demandSearch) isUndone(m Member, r fleet.Range) bool {
	layersBack := m.Layers.Len() - overlap(r, m.Layers)
	if layersBack == 0 {
		return false
	}
	oldWeight, newWeight := copyWeight(s.engine, m.Card, m.Layers.Len()), copyWeight(s.engine, m.Card, r.Len())
	s.coverage.add(m.DataCentre, m.Layers, -oldWeight)
	gains := newCoverageGains(s.coverage, m.DataCentre)
	back := gains.sum(m.Layers, oldWeight) - gains.sum(r, newWeight)
	s.coverage.add(m.DataCentre, m.Layers, oldWeight)
	return back/float64(layersBack) > minGainPerLayer
}
