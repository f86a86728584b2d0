package mesh

import (
	"time"

	"rhubarbspread/io/mesh/wire"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// Nodes share no clock, so that digests state ages. The time that a digest takes on its way, also in the queue of a node that stands
// still, belongs to these. Each digest returns the time at which the receiver made the latest one that arrived from it: what came back was
// made later than that, by the time for which the sender held it. A digest so dated is never taken for younger than it is, whatever
// its delay, and an age that goes round among nodes only grows.

// receipt tells when a digest was made and handled, in this node's time.
type receipt struct {
	handledAt time.Time
	madeAt    time.Time // earliest time at which it can have been made; zero if it does not tell, as of older builds
}

// receiptOf returns the times of a digest that is being handled now.
func (m *Mesh) receiptOf(d *wire.Digest) receipt {
	r := receipt{handledAt: time.Now()}
	e, elapsed := d.GetEcho(), r.handledAt.Sub(m.started).Microseconds()
	isOwn := e != nil && e.GetIncarnation() == m.incarnation && e.GetMadeUs() <= uint64(elapsed)
	if isOwn && e.GetHeldUs() <= elapsed && e.GetHeldUs() >= -elapsed {
		r.madeAt = m.started.Add(time.Duration(int64(e.GetMadeUs())+e.GetHeldUs()) * time.Microsecond)
	}
	if r.madeAt.After(r.handledAt) { // clocks differ a little in their rates
		r.madeAt = r.handledAt
	}
	return r
}

// onTheWay returns how long a digest was on its way at most, and 0 if it does not tell.
func (r receipt) onTheWay() time.Duration {
	if r.madeAt.IsZero() {
		return 0
	}
	return r.handledAt.Sub(r.madeAt)
}

// steadyTime returns a time as digests state it: microseconds since this node's start, at least 1.
func (m *Mesh) steadyTime(t time.Time) uint64 {
	return uint64(max(1, t.Sub(m.started).Microseconds()))
}

// echoFor returns what a digest made at a time by this node's clock, in microseconds, returns to a node.
func (m *Mesh) echoFor(name string, madeUs uint64) *wire.Echo {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.peers[name]
	if s == nil || s.madeUs == 0 {
		return nil
	}
	return &wire.Echo{
		Incarnation: s.incarnation, MadeUs: s.madeUs, HeldUs: int64(madeUs) - int64(m.steadyTime(s.handledAt)),
	}
}

// addressed returns a copy of a digest, which shares its contents, with the echo for one receiver.
func (m *Mesh) addressed(d *wire.Digest, name string) *wire.Digest {
	out := &wire.Digest{}
	to := out.ProtoReflect()
	d.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		to.Set(field, value)
		return true
	})
	out.Echo = m.echoFor(name, d.GetMadeUs())
	return out
}

// encodeAge returns an age in milliseconds, rounded up lest it shrink each time it is passed on.
func encodeAge(age time.Duration) uint32 {
	return uint32((max(0, age) + time.Millisecond - 1) / time.Millisecond)
}
