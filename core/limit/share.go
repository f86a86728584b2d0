package limit

// Constants of the reserve that keeps a flooding team from filling every place.
const (
	overShare = 1.2  // of its fair part of the node's rate at which a team counts as flooding
	floodPart = 0.65 // of the places that are taken at all when a flooding team gets no more
)

// mayTake reports whether a team may take a further place. One that floods leaves the last places to the
// others, who would otherwise wait at the upstreams behind it; alone it may take all.
func (p *Pool) mayTake(a *account) bool {
	if a.team == resumeTeam || float64(p.running) < floodPart*p.places() {
		return true
	}
	now := p.now()
	active := p.activeWeight(a)
	return active == a.weight || a.usage.perSecond(now) < overShare*p.slotRate()*a.weight/active
}

// slotRate returns the tokens/s of the upstreams' slots that are this node's to fill.
func (p *Pool) slotRate() float64 {
	sum := 0.0
	for _, s := range p.seats {
		if s.sound() {
			sum += float64(s.slots()) * s.streamRate()
		}
	}
	return sum / float64(len(p.nodes))
}

// places returns the upstreams' slots that are this node's to fill.
func (p *Pool) places() float64 {
	sum := 0
	for _, s := range p.seats {
		if s.sound() {
			sum += s.slots()
		}
	}
	return float64(sum) / float64(len(p.nodes))
}

// activeWeight sums the weights of a team and of all that have work here.
func (p *Pool) activeWeight(a *account) float64 {
	sum := a.weight
	for _, o := range p.queue.accounts {
		if o != a && o.team != resumeTeam && (o.running > 0 || len(o.waiting) > 0) {
			sum += o.weight
		}
	}
	return sum
}
