package entry

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/reach"
	"rhubarbspread/io/hop"
)

// Times and limits of probes of upstreams by new connections.
const (
	probeInterval   = 300 * time.Millisecond // between rounds of probes while the node is or may be cut off
	refutedInterval = time.Second            // the same after a round that has refuted it: one upstream may be slow to accept
	updateInterval  = 50 * time.Millisecond  // between looks at the evidence meanwhile
	suspectInterval = 200 * time.Millisecond // between probes after broken exchanges, which callers who leave cause as well
	relayCheckTime  = time.Second            // since the latest relayed connection, until relays are probed during a cut
	probeTimeout    = time.Second            // of one probe
	maxProbes       = 8                      // at a time
	probesToRefute  = 6                      // in a round that is to refute that the node is cut off
)

// prober holds the state of reacher.run.
type prober struct {
	*reacher
	running     int           // probes
	done        chan struct{} // receives a value at the end of each probe
	nextProbeAt time.Time     // when the next round of probes may begin
	isTesting   bool          // a round has begun and not refuted that the node is cut off
	suspectedAt time.Time     // when the latest suspect was probed
}

// run updates the tracker and probes upstreams while the node is or may be cut off, until the context is canceled.
func (r *reacher) run(ctx context.Context) error {
	p := &prober{reacher: r, done: make(chan struct{}, maxProbes)}
	var tick <-chan time.Time
	for {
		select {
		case t := <-r.suspects:
			if time.Since(p.suspectedAt) >= suspectInterval && !r.tracker.IsCut() {
				p.suspectedAt = time.Now()
				p.start(ctx, t, r.dialEither)
			}
		case <-r.wake:
		case <-tick:
		case <-p.done:
			p.running--
		case <-ctx.Done():
			for range p.running {
				<-p.done
			}
			return nil
		}
		tick = nil
		if p.update(ctx) {
			tick = time.After(updateInterval)
		}
	}
}

// update applies the evidence, probes if it is time, and reports whether to go on.
func (p *prober) update(ctx context.Context) bool {
	if change := p.tracker.Update(); change != reach.Unchanged {
		p.changed(change)
	}
	isSuspected := p.tracker.IsSuspected()
	switch now := time.Now(); {
	case isSuspected && !now.Before(p.nextProbeAt):
		p.probe(ctx)
		p.nextProbeAt, p.isTesting = now.Add(probeInterval), true
	case !isSuspected && p.isTesting:
		p.nextProbeAt, p.isTesting = now.Add(refutedInterval), false
	}
	return isSuspected
}

// probe starts a round of probes. As long as the node is only suspected to be cut off, they go both ways, so that they
// either refute or confirm it.
func (p *prober) probe(ctx context.Context) {
	list := p.upstreams()
	if len(list) == 0 {
		return
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if p.tracker.IsCut() {
		p.start(ctx, targetOf(list[0]), p.dialDirect)
		if last := p.lastRelay.Load(); last == nil || time.Since(last.at) >= relayCheckTime {
			p.start(ctx, targetOf(list[0]), p.dialRelayed) // the duties depend on whether relays work
		}
		return
	}
	evidence := p.tracker.Evidence()
	list = slices.DeleteFunc(list, func(u *fleet.Upstream) bool { _, ok := evidence[u.ID]; return ok })
	p.tracker.ProbesBegan()
	for _, u := range p.mixed(list)[:min(probesToRefute, len(list))] {
		p.start(ctx, targetOf(u), p.dialEither)
	}
}

// mixed returns the upstreams in an order in which one of the node's own data centre comes first and one of another comes
// second, if there are any: the node may be cut off from one data centre only.
func (p *prober) mixed(list []*fleet.Upstream) []*fleet.Upstream {
	slices.SortStableFunc(list, func(a, b *fleet.Upstream) int { return cmp.Compare(p.distance(a), p.distance(b)) })
	first := slices.IndexFunc(list, func(u *fleet.Upstream) bool { return p.distance(u) > 0 })
	if first > 1 {
		list[1], list[first] = list[first], list[1]
	}
	return list
}

// distance returns 0 for an upstream in the node's own data centre, else 1.
func (p *prober) distance(u *fleet.Upstream) int {
	if u.DataCentre == p.dataCentre {
		return 0
	}
	return 1
}

func targetOf(u *fleet.Upstream) hop.Target { return hop.Target{ID: u.ID, Address: u.Address} }

// start starts a probe unless too many run: a connection that is opened and closed.
func (p *prober) start(ctx context.Context, t hop.Target, dial hop.DialFunc) {
	if p.running >= maxProbes {
		return
	}
	p.running++
	go func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		if c, err := dial(ctx, t); err == nil {
			_ = c.Close()
		}
		p.done <- struct{}{}
	}()
}

// describeEvidence returns the upstreams that only relays reached and their ages, for logs.
func describeEvidence(ages map[string]time.Duration) string {
	var parts []string
	for _, id := range slices.Sorted(maps.Keys(ages)) {
		parts = append(parts, id+":"+strconv.FormatInt(ages[id].Milliseconds(), 10)+"ms")
	}
	return strings.Join(parts, " ")
}
