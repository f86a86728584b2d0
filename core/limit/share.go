package limit

import "time"

// Constants of the reserve that keeps a flooding team from filling every place.
const (
	floodShare = 2.0                    // of its fair part of the node's rate: a team that asks for more for long floods
	floodBurst = 3 * time.Second        // of its fair part: what a team may ask beyond floodShare and not count as flooding
	floodMost  = 6 * time.Second        // of its fair part: the most that is held against a team
	floodPart  = 0.3                    // of the places that are taken at all when a flooding team gets no more than its fair part
	fullPart   = 0.9                    // of the places that are taken when half of floodBurst counts as flooding
	activeFor  = 5 * time.Second        // after its latest request, for which a team has a part
	activeAge  = 100 * time.Millisecond // of the sum of the active teams' weights, which thousands of teams make dear
)

// mayTake reports whether a team may take a further place. One that floods leaves the places beyond its
// fair part to the others, who would otherwise wait at the upstreams behind it; alone it may take all.
func (p *Pool) mayTake(a *account) bool {
	if a.team == resumeTeam || float64(p.running) < floodPart*p.places() {
		return true
	}
	now := p.now()
	fair, alone := p.fairRate(a, now)
	burst := floodBurst.Seconds()
	if float64(p.running) > fullPart*p.places() {
		burst /= 2
	}
	return alone || a.asked.level(floodShare*fair, now) < fair*burst || a.taken.level(fair, now) <= 0
}

// ask notes the tokens of a request, refused or not.
func (p *Pool) ask(a *account, tokens float64, now time.Time) {
	fair, _ := p.fairRate(a, now)
	a.asked.add(tokens, floodShare*fair, fair*floodMost.Seconds(), now)
}

// take notes the tokens of a request that gets a place, in the queue's account and against the team's part.
func (p *Pool) take(a *account, tokens float64, now time.Time) {
	p.queue.charge(a, tokens)
	fair, _ := p.fairRate(a, now)
	a.taken.add(tokens, fair, fair*floodMost.Seconds(), now)
}

// leaky is a bucket that runs out at a rate.
type leaky struct {
	amount float64
	at     time.Time
}

func (l *leaky) level(rate float64, now time.Time) float64 {
	return max(0, l.amount-rate*now.Sub(l.at).Seconds())
}

func (l *leaky) add(amount, rate, most float64, now time.Time) {
	l.amount, l.at = min(most, l.level(rate, now)+amount), now
}

// floodWait returns how long a team that is held to its fair part waits for what it has in the queue.
func (p *Pool) floodWait(a *account, now time.Time) time.Duration {
	if p.mayTake(a) {
		return 0
	}
	fair, _ := p.fairRate(a, now)
	return time.Duration(a.queued / max(fair, 1e-3) * float64(time.Second))
}

// fairRate returns the tokens/s that are a team's part of this node's slots, and whether no other asks.
func (p *Pool) fairRate(a *account, now time.Time) (float64, bool) {
	active := p.activeWeight(a, now)
	return p.slotRate() * a.weight / active, active == a.weight
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

// activeWeight sums the weights of a team and of all that have work here or asked lately.
func (p *Pool) activeWeight(a *account, now time.Time) float64 {
	if now.Sub(p.activeAt) >= activeAge {
		p.active, p.activeAt = 0, now
		for _, o := range p.queue.accounts {
			if o.team != resumeTeam && (o.running > 0 || now.Sub(o.used) < activeFor) {
				p.active += o.weight
			}
		}
	}
	return max(p.active, a.weight)
}
