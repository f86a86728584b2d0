package entry

import (
	"maps"
	"slices"
	"sync"

	"rhubarbspread/core/admit"
	"rhubarbspread/core/demand"
	"rhubarbspread/core/proxy"
	"rhubarbspread/core/rules"

	"github.com/go-logr/logr"
)

// admissions holds the admission control of the services that the configuration in force calls for.
type admissions struct {
	mode  admit.Mode
	log   logr.Logger
	meter *demand.Meter // of the demand by data centre

	mu        sync.RWMutex
	byService map[string]*proxy.Admission // replaced as a whole, so that it may be read after it was taken
	// retired holds those that are out of force. Requests may still wait in their queues. Replaced as a whole.
	retired map[string]*proxy.Admission
	rules   *rules.Rules // latest configuration
	// competing holds the services whose more and less urgent routes compete for capacity. Replaced as a whole.
	competing map[string]bool
}

// Admission returns the admission control of a service, or nil if none is in force.
func (a *admissions) Admission(service string) *proxy.Admission { return a.all()[service] }

func (a *admissions) all() map[string]*proxy.Admission {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.byService
}

// compete reports whether more and less urgent routes of a service compete for capacity.
func (a *admissions) compete(service string) bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.competing[service]
}

// configure follows a configuration. The counts and the queue of a service that stays are kept. Requests that wait in a queue that
// goes out of force are woken until they leave, but without limits.
func (a *admissions) configure(r *rules.Rules) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r == nil || r == a.rules {
		return
	}
	a.rules = r
	next, retired := make(map[string]*proxy.Admission), make(map[string]*proxy.Admission)
	competing := make(map[string]bool)
	for _, s := range r.Engines() {
		classes := admit.ClassesOf(r, s, a.mode)
		if len(classes) == 0 {
			continue
		}
		admission := a.byService[s.Name]
		if admission == nil {
			admission = a.retired[s.Name]
			if admission == nil {
				admission = proxy.NewAdmission(s.Name, a.options()...)
			}
			a.log.Info("admission", "service", s.Name, "classes", len(classes), "mode", string(a.mode), "version", r.Version())
		}
		admission.Controller.SetClasses(classes)
		next[s.Name], competing[s.Name] = admission, admit.Compete(classes)
	}
	for name, admission := range a.byService {
		if next[name] == nil {
			a.log.Info("admission", "service", name, "classes", 0, "mode", string(a.mode), "version", r.Version())
			admission.Controller.SetClasses(nil)
			retired[name] = admission
		}
	}
	for name, admission := range a.retired {
		if next[name] == nil && admission.Queue.Len() > 0 {
			retired[name] = admission
		}
	}
	a.byService, a.retired, a.competing = next, retired, competing
}

// wake lets waiting requests look for capacity.
func (a *admissions) wake() {
	a.mu.RLock()
	inForce, retired := a.byService, a.retired
	a.mu.RUnlock()
	for _, admission := range inForce {
		admission.Queue.Wake()
	}
	for _, admission := range retired {
		admission.Queue.Wake()
	}
}

// Counts returns this node's counts of all services by class.
func (a *admissions) Counts() map[uint32]admit.Count {
	all := a.all()
	controllers := make([]*admit.Controller, 0, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		controllers = append(controllers, all[name].Controller)
	}
	return admit.CountsOf(controllers)
}

// Merge stores the counts of another node, or of a relay for several nodes.
func (a *admissions) Merge(node string, counts map[uint32]admit.Count) {
	for _, admission := range a.all() {
		admission.Controller.Merge(node, counts)
	}
}

// level returns the highest level of a service's least urgent class.
func (a *admissions) level() float64 {
	level := 0.0
	for _, admission := range a.all() {
		level = max(level, admission.Controller.Level())
	}
	return level
}

// waiting returns how many requests wait for capacity.
func (a *admissions) waiting() int {
	count := 0
	for admission := range maps.Values(a.all()) {
		count += admission.Queue.Len()
	}
	return count
}
