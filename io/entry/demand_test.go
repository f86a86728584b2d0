package entry

import (
	"testing"

	"rhubarbspread/core/admit"
	"rhubarbspread/core/demand"
	"rhubarbspread/core/fleet"
	"rhubarbspread/io/mesh"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// TestDemandFollowsTheConfiguration guards against requests under admission control whose demand is not measured, and against a service
// whose demand is stated after a configuration took it out of scope.
func TestDemandFollowsTheConfiguration(t *testing.T) {
	a := &admissions{mode: admit.Auto, log: logr.Discard(), meter: demand.New("a")}
	v := &View{List: fleet.NewList(1, []*fleet.Upstream{{ID: "u", DataCentre: "c"}}), Nodes: map[string]mesh.Node{"n": {DataCentre: "b"}}}
	a.configure(admissionRules(1, 0, 2))
	a.measure(v)
	a.Admission("model").Controller.Offer(admit.Request{Tokens: 300}).Admit()
	a.Admission("model").Controller.Offer(admit.Request{Tokens: 300}).Refuse()
	if got := a.meter.ByDataCentre("model")["a"].Rate; got.Offered <= 0 || got.UnservedShare() != 0.5 || got.Admitted <= 0 || got.Refused <= 0 {
		t.Errorf("demand %+v, want half of it unserved, one request admitted and one refused", got)
	}
	for _, dataCentre := range []string{"b", "c"} {
		a.meter.MergeAll(map[uint32]demand.Entry{demand.Hash(dataCentre, "model"): {}})
	}
	if got := a.meter.ByDataCentre("model"); len(got) != 3 {
		t.Errorf("known %v, want the data centres of nodes and upstreams as well", got)
	}
	if got := len(a.planOptions("model")); got != 2 {
		t.Errorf("%d options of the plan, want balanced ranges and the demand", got)
	}
	a.configure(admissionRules(2, 1))
	a.measure(v)
	if got := a.meter.Own(); len(got) != 0 || len(a.planOptions("model")) != 0 {
		t.Errorf("demand %v out of scope, %d options of the plan", got, len(a.planOptions("model")))
	}
}

// TestDemandLogIsBounded guards against a log line for each step of the plan, and against a shortage that is not logged.
func TestDemandLogIsBounded(t *testing.T) {
	lines := 0
	l := newDemandLog(funcr.New(func(string, string) { lines++ }, funcr.Options{}))
	for i := range 100 {
		e := demand.Entry{Rate: demand.Rate{Offered: 100, Unserved: float64(i % 2 * 50), Refused: 5}}
		l.write("model", map[string]demand.Entry{"a": e})
	}
	if lines != 1 {
		t.Errorf("%d lines at one moment, want 1", lines)
	}
}
