package fake

import (
	"context"
	"slices"
	"sync"
	"time"

	"rhubarbspread/core/store"
)

// List is a fake of the platform's VM list; changes become visible after a lag.
type List struct {
	mu        sync.Mutex
	lag       time.Duration
	down      bool
	vms       []store.VM
	snapshots []listSnapshot // the visible one and those to come, in order of time
}

// listSnapshot is the list from a time on.
type listSnapshot struct {
	visibleAt time.Time
	vms       []store.VM
}

// NewList returns an empty list whose changes become visible after a lag.
func NewList(lag time.Duration) *List { return &List{lag: lag} }

// Add adds VMs to the list; they are visible at once.
func (l *List) Add(vms ...store.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = append(l.vms, vms...)
	l.snapshots = []listSnapshot{{vms: slices.Clone(l.vms)}}
}

// SetLeaving sets whether a VM is leaving; the change becomes visible after the lag.
func (l *List) SetLeaving(name string, leaving bool) {
	l.update(func(vm *store.VM) bool {
		if vm.Name == name {
			vm.Leaving = leaving
		}
		return true
	})
}

// Remove removes a VM; the change becomes visible after the lag.
func (l *List) Remove(name string) {
	l.update(func(vm *store.VM) bool { return vm.Name != name })
}

// update applies edit to every VM, keeps those for which it returns true, and makes the result visible after the lag.
func (l *List) update(edit func(*store.VM) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var vms []store.VM
	for _, vm := range l.vms {
		if edit(&vm) {
			vms = append(vms, vm)
		}
	}
	l.vms = vms
	l.snapshots = append(l.snapshots, listSnapshot{visibleAt: time.Now().Add(l.lag), vms: slices.Clone(vms)})
}

// SetDown starts or ends an outage.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Set injects or ends a fault, and reports whether the list supports this kind.
func (l *List) Set(kind string) bool {
	switch kind {
	case Down, Cut:
		l.SetDown(true)
	case Up, Heal, Restore:
		l.SetDown(false)
	default:
		return false
	}
	return true
}

// Faults returns the active faults.
func (l *List) Faults() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return []string{Down}
	}
	return nil
}

// VMs returns the list as it is visible now.
func (l *List) VMs(context.Context) ([]store.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, store.NewError(store.NotSent, "the list is down")
	}
	for len(l.snapshots) > 1 && !time.Now().Before(l.snapshots[1].visibleAt) {
		l.snapshots = l.snapshots[1:]
	}
	if len(l.snapshots) == 0 {
		return nil, nil
	}
	return slices.Clone(l.snapshots[0].vms), nil
}
