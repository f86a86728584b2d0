package mesh

import (
	"math"
	"time"

	"rhubarbspread/core/demand"
	"rhubarbspread/io/mesh/wire"
)

// Parameters of the demand in digests.
const (
	// loadPeriods is the number of periods of which one has the demand by data centre, which is measured over seconds. It is odd, so
	// that each of two relays that take turns serves all members.
	loadPeriods = 5
	// rateScale is the number of units in a request a second.
	rateScale = 10
)

// WithMeter exchanges the demand by data centre as well.
func WithMeter(meter *demand.Meter) Option { return func(m *Mesh) { m.meter = meter } }

// loads returns the demand to send in a period, as a function of the meter returns it; none in most periods.
func (m *Mesh) loads(sequence uint32, entries func(*demand.Meter) map[uint32]demand.Entry) []*wire.Load {
	if m.meter == nil || sequence%loadPeriods != 0 {
		return nil
	}
	var list []*wire.Load
	for hash, e := range entries(m.meter) {
		list = append(list, &wire.Load{
			Place: hash, Offered: units(e.Offered, 1), Unserved: units(e.Unserved, 1),
			Admitted: units(e.Admitted, rateScale), Refused: units(e.Refused, rateScale), AgeMs: encodeAge(e.Age),
		})
	}
	return list
}

// units returns a rate in whole units.
func units(rate, scale float64) uint32 {
	return uint32(math.Round(min(math.MaxUint32, max(0, rate*scale))))
}

// applyLoads passes on the demand that a digest states which was on its way for a time. Most digests, and all of older builds, state none.
func (m *Mesh) applyLoads(d *wire.Digest, onTheWay time.Duration) {
	if m.meter == nil || len(d.GetLoads()) == 0 {
		return
	}
	entries := make(map[uint32]demand.Entry, demand.MaxEntries)
	for _, l := range d.GetLoads()[:min(len(d.GetLoads()), demand.MaxEntries)] {
		entries[l.GetPlace()] = demand.Entry{Rate: demand.Rate{
			Offered: float64(l.GetOffered()), Unserved: float64(l.GetUnserved()),
			Admitted: float64(l.GetAdmitted()) / rateScale, Refused: float64(l.GetRefused()) / rateScale,
		}, Age: milliseconds(l.GetAgeMs()) + onTheWay}
	}
	switch d.GetScope() {
	case wire.Scope_NODE:
		m.meter.MergeNode(d.GetNode(), d.GetDataCentre(), entries)
	case wire.Scope_DATA_CENTRE:
		if d.GetDataCentre() != m.config.DataCentre {
			m.meter.MergeCentre(entries)
		}
	case wire.Scope_OTHERS:
		m.meter.MergeAll(entries)
	}
}
