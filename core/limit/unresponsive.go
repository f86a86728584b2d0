package limit

import "time"

// Thresholds from which upstreams count as unresponsive before a failure is certain. They get no new requests while
// another upstream responds.
const (
	tokenTimeout         = 400 * time.Millisecond  // since the latest token on any of this node's requests
	reportTimeout        = 2500 * time.Millisecond // since the latest load report, of which one arrives every second
	dataCentreMinFailing = 2                       // unresponsive or lost upstreams needed to mark a data centre
	dataCentreTimeout    = 700 * time.Millisecond  // since the latest report or token from a data centre
)

// dataCentreState summarizes the upstreams of one data centre.
type dataCentreState struct {
	name         string
	unresponsive int   // upstreams that are unresponsive or lost
	lastActivity int64 // Unix time of the latest report or token in nanoseconds
}

// markUnresponsive updates which upstreams are unresponsive, and reports whether a healthy one is responsive.
func (p *Pool) markUnresponsive(now time.Time) bool {
	p.dataCentres = p.dataCentres[:0]
	for _, s := range p.upstreams {
		c := p.dataCentre(s.upstream.DataCentre())
		s.unresponsive = p.isUnresponsive(s, now)
		c.lastActivity = max(c.lastActivity, s.reportAt.UnixNano())
		if s.inFlight > 0 {
			c.lastActivity = max(c.lastActivity, s.lastTokenAt.Load())
		}
		if s.unresponsive || (s.lastFailureLost && s.failures > 0) {
			c.unresponsive++
		}
	}
	anyResponsive := false
	for _, s := range p.upstreams {
		c := p.dataCentre(s.upstream.DataCentre())
		if c.unresponsive >= dataCentreMinFailing && now.UnixNano()-c.lastActivity > int64(dataCentreTimeout) {
			s.unresponsive = true
		}
		anyResponsive = anyResponsive || (s.healthy() && !s.unresponsive)
	}
	return anyResponsive
}

func (p *Pool) dataCentre(name string) *dataCentreState {
	for i := range p.dataCentres {
		if p.dataCentres[i].name == name {
			return &p.dataCentres[i]
		}
	}
	p.dataCentres = append(p.dataCentres, dataCentreState{name: name})
	return &p.dataCentres[len(p.dataCentres)-1]
}

// isUnresponsive reports whether an upstream sends nothing on this node's requests, or no longer reports its load.
func (p *Pool) isUnresponsive(s *upstreamState, now time.Time) bool {
	if s.inFlight > 0 && now.UnixNano()-s.lastTokenAt.Load() > int64(tokenTimeout) {
		return true
	}
	return p.reportsLoad && now.Sub(s.reportAt) > reportTimeout
}
