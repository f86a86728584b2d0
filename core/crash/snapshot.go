package crash

import (
	"maps"
	"slices"

	"github.com/go-logr/logr"
)

// Snapshot returns a copy of the registry that logs nothing and shares no state with it, for a decision that must have no effect.
// Its stamps are 0.
func (r *Registry) Snapshot() *Registry {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &Registry{
		now: r.now, stamp: func() uint64 { return 0 }, quarantine: r.quarantine, settleTime: r.settleTime,
		records: make(map[Fingerprint]*record, len(r.records)), running: make(map[Fingerprint]*runningRequest, len(r.running)),
		cleared: maps.Clone(r.cleared), ended: maps.Clone(r.ended), contested: maps.Clone(r.contested), seen: maps.Clone(r.seen),
		seenSweptAt: r.seenSweptAt, usage: r.usage.clone(), open: r.open, outcomeTime: r.outcomeTime, index: r.index, nodes: r.nodes,
		log: logr.Discard(),
	}
	copies := make(map[*death]*death, len(r.deaths))
	copyOf := func(d *death) *death {
		if copies[d] == nil {
			copies[d] = &death{upstream: d.upstream, dataCentre: d.dataCentre, at: d.at, marks: maps.Clone(d.marks)}
		}
		return copies[d]
	}
	for _, d := range r.deaths {
		c.deaths = append(c.deaths, copyOf(d))
	}
	for f, rec := range r.records {
		copied := *rec
		copied.deaths = nil
		for _, d := range rec.deaths {
			copied.deaths = append(copied.deaths, copyOf(d))
		}
		c.records[f] = &copied
	}
	for f, run := range r.running {
		copied := *run
		c.running[f] = &copied
	}
	return c
}

// clone returns a copy that shares no state.
func (u *usage) clone() usage {
	c := *u
	for _, period := range []*map[Fingerprint]*partUse{&c.current, &c.previous} {
		if *period == nil {
			continue
		}
		copied := make(map[Fingerprint]*partUse, len(*period))
		for f, p := range *period {
			use := *p
			use.companions = slices.Clip(use.companions)
			copied[f] = &use
		}
		*period = copied
	}
	return c
}
