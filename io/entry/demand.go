package entry

import (
	"maps"
	"slices"
	"time"

	"rhubarbspread/core/admit"
	"rhubarbspread/core/demand"
	"rhubarbspread/core/place"

	"github.com/go-logr/logr"
)

// options returns the options of a controller.
func (a *admissions) options() []admit.Option {
	if a.meter == nil {
		return nil
	}
	return []admit.Option{admit.WithDemand(a.meter)}
}

// measure lets the meter follow the services in scope and the data centres of the fleet.
func (a *admissions) measure(v *View) {
	dataCentres := make(map[string]bool)
	for _, n := range v.Nodes {
		dataCentres[n.DataCentre] = true
	}
	for _, u := range v.List.All() {
		dataCentres[u.DataCentre] = true
	}
	a.meter.Configure(slices.Sorted(maps.Keys(a.all())), slices.Sorted(maps.Keys(dataCentres)))
}

// planOptions returns how the upstreams of a service are planned for.
func (a *admissions) planOptions(service string) []place.Option {
	var opts []place.Option
	if a.compete(service) {
		opts = append(opts, place.WithBalancedRanges())
	}
	if a.Admission(service) != nil {
		opts = append(opts, place.WithDemand(service, a.meter.ByDataCentre(service)))
	}
	return opts
}

// demandLogInterval is the least time between two log lines on the demand for one service in one data centre.
const demandLogInterval = time.Second

// demandLog logs which data centres lack room for a service and which no longer do, as far as their demand is known.
type demandLog struct {
	log      logr.Logger
	short    map[string]bool      // by service and data centre
	loggedAt map[string]time.Time // likewise
}

func newDemandLog(log logr.Logger) *demandLog {
	return &demandLog{log, make(map[string]bool), make(map[string]time.Time)}
}

// write logs the changes for one service.
func (l *demandLog) write(service string, known map[string]demand.Entry) {
	for _, dataCentre := range slices.Sorted(maps.Keys(known)) {
		e, key := known[dataCentre], service+"\x00"+dataCentre
		if l.short[key] == e.IsShort() || time.Since(l.loggedAt[key]) < demandLogInterval {
			continue
		}
		l.short[key], l.loggedAt[key] = e.IsShort(), time.Now()
		l.log.Info("demand", "service", service, "data-centre", dataCentre, "short", e.IsShort(), "offered-tokens", int(e.Offered),
			"unserved-tokens", int(e.Unserved), "admitted", int(e.Admitted), "refused", int(e.Refused), "age-ms", e.Age.Milliseconds())
	}
}
