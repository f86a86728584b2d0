package limit

import "time"

// Limits on a flooding team, one that keeps asking for more than its fair share, so that it does not fill every slot.
const (
	floodFactor         = 2.0                    // multiple of the fair rate that a team may ask for in the long run
	floodBurst          = 3 * time.Second        // burst above that multiple, in time at the fair rate
	floodMaxExcess      = 6 * time.Second        // largest recorded excess, in time at the fair rate
	floodMinLoad        = 0.3                    // fraction of slots in use from which the limits apply
	highLoad            = 0.9                    // fraction of slots in use above which floodBurst is halved
	teamActiveTime      = 5 * time.Second        // time after its latest request during which a team has a share
	activeWeightsMaxAge = 100 * time.Millisecond // of the cached sum, which is expensive with thousands of teams
)

// mayGrant reports whether a team may get another slot. A flooding team is held to its fair rate, so that other
// teams don't queue behind it at the upstreams; a team that is the only active one may use all slots.
func (p *Pool) mayGrant(a *account) bool {
	if a.team == resumeTeam || float64(p.running) < floodMinLoad*p.ownSlots() {
		return true
	}
	now := p.now()
	fair, alone := p.fairRate(a, now)
	burst := floodBurst.Seconds()
	if float64(p.running) > highLoad*p.ownSlots() {
		burst /= 2
	}
	return alone || a.excessDemand.level(floodFactor*fair, now) < fair*burst || a.excessGrants.level(fair, now) <= 0
}

// recordDemand adds the tokens of a request, admitted or not, to its team's excess demand.
func (p *Pool) recordDemand(a *account, tokens float64, now time.Time) {
	fair, _ := p.fairRate(a, now)
	a.excessDemand.add(tokens, floodFactor*fair, fair*floodMaxExcess.Seconds(), now)
}

// recordGrant charges the tokens of a granted request to its team, in the fair queue and against its fair rate.
func (p *Pool) recordGrant(a *account, tokens float64, now time.Time) {
	p.queue.charge(a, tokens)
	fair, _ := p.fairRate(a, now)
	a.excessGrants.add(tokens, fair, fair*floodMaxExcess.Seconds(), now)
}

// leakyBucket is a level that drains at the rate given with each call.
type leakyBucket struct {
	amount    float64
	updatedAt time.Time
}

func (l *leakyBucket) level(rate float64, now time.Time) float64 {
	return max(0, l.amount-rate*now.Sub(l.updatedAt).Seconds())
}

func (l *leakyBucket) add(amount, rate, maxLevel float64, now time.Time) {
	l.amount, l.updatedAt = min(maxLevel, l.level(rate, now)+amount), now
}

// fairShareWait returns how long a team that is held to its fair rate takes to drain its queued requests.
func (p *Pool) fairShareWait(a *account, now time.Time) time.Duration {
	if p.mayGrant(a) {
		return 0
	}
	fair, _ := p.fairRate(a, now)
	return time.Duration(a.queuedTokens / max(fair, 1e-3) * float64(time.Second))
}

// fairRate returns a team's share of this node's token rate, in tokens/s, and whether it is the only active team.
func (p *Pool) fairRate(a *account, now time.Time) (float64, bool) {
	active := p.activeWeight(a, now)
	return p.ownSlotRate() * a.weight / active, active == a.weight
}

// ownSlotRate returns this node's share of the upstreams' token rate, in tokens/s.
func (p *Pool) ownSlotRate() float64 {
	sum := 0.0
	for _, s := range p.upstreams {
		if s.healthy() {
			sum += float64(s.slots()) * s.streamRate()
		}
	}
	return sum / float64(len(p.nodes))
}

// ownSlots returns this node's share of the upstreams' slots.
func (p *Pool) ownSlots() float64 {
	sum := 0
	for _, s := range p.upstreams {
		if s.healthy() {
			sum += s.slots()
		}
	}
	return float64(sum) / float64(len(p.nodes))
}

// activeWeight returns the sum of the weights of the teams that have requests in flight or sent one recently, and at
// least that of the given team.
func (p *Pool) activeWeight(a *account, now time.Time) float64 {
	if now.Sub(p.activeWeightsAt) >= activeWeightsMaxAge {
		p.activeWeights, p.activeWeightsAt = 0, now
		for _, o := range p.queue.accounts {
			if o.team != resumeTeam && (o.running > 0 || now.Sub(o.lastUsed) < teamActiveTime) {
				p.activeWeights += o.weight
			}
		}
	}
	return max(p.activeWeights, a.weight)
}
