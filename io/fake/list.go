package fake

import (
	"context"
	"slices"
	"sync"
	"time"

	"rhubarbspread/core/store"
)

// List is a stand-in of the platform's list; what it shows lags behind.
type List struct {
	mu       sync.Mutex
	lag      time.Duration
	down     bool
	machines []store.VM
	shown    []shownList
}

type shownList struct {
	from     time.Time
	machines []store.VM
}

// NewList returns an empty list with a lag.
func NewList(lag time.Duration) *List { return &List{lag: lag} }

// Add puts machines on the list at once, without the lag.
func (l *List) Add(machines ...store.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machines = append(l.machines, machines...)
	l.shown = []shownList{{machines: slices.Clone(l.machines)}}
}

// SetLeaving marks a machine; the list shows it after its lag.
func (l *List) SetLeaving(name string, leaving bool) {
	l.change(func(m *store.VM) bool {
		if m.Name == name {
			m.Leaving = leaving
		}
		return true
	})
}

// Remove takes a machine from the list, after its lag.
func (l *List) Remove(name string) {
	l.change(func(m *store.VM) bool { return m.Name != name })
}

func (l *List) change(keep func(*store.VM) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var machines []store.VM
	for _, m := range l.machines {
		if keep(&m) {
			machines = append(machines, m)
		}
	}
	l.machines = machines
	l.shown = append(l.shown, shownList{from: time.Now().Add(l.lag), machines: slices.Clone(machines)})
}

// SetDown starts or ends an outage.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Set brings a fault about and reports whether the list knows it.
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

// Faults returns the faults in force.
func (l *List) Faults() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return []string{Down}
	}
	return nil
}

// VMs returns the list as it is shown now.
func (l *List) VMs(context.Context) ([]store.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, store.NewError(store.NotSent, "the list is down")
	}
	for len(l.shown) > 1 && !time.Now().Before(l.shown[1].from) {
		l.shown = l.shown[1:]
	}
	if len(l.shown) == 0 {
		return nil, nil
	}
	return slices.Clone(l.shown[0].machines), nil
}
