package route

import "time"

// Upstream is one replica behind the system, as the platform's list shows it.
type Upstream struct {
	name       string
	address    string
	dataCentre string
	kind       string
	serves     string
	first      int
	last       int
}

// UpstreamOption sets a part of an Upstream.
type UpstreamOption func(*Upstream)

// WithLayers says that the upstream holds layers first to last-1 of a split model.
func WithLayers(first, last int) UpstreamOption {
	return func(u *Upstream) { u.first, u.last = first, last }
}

// WithKind names the upstream's kind.
func WithKind(kind string) UpstreamOption {
	return func(u *Upstream) { u.kind = kind }
}

// NewUpstream returns an upstream at an IP:port address that serves a model or service.
func NewUpstream(name, address, dataCentre, serves string, opts ...UpstreamOption) *Upstream {
	u := &Upstream{name: name, address: address, dataCentre: dataCentre, serves: serves}
	for _, o := range opts {
		o(u)
	}
	return u
}

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.name }

// Address returns the upstream's IP:port.
func (u *Upstream) Address() string { return u.address }

// DataCentre returns the data centre of the upstream's VM.
func (u *Upstream) DataCentre() string { return u.dataCentre }

// Kind returns the name of the upstream's kind.
func (u *Upstream) Kind() string { return u.kind }

// Serves returns the model or service that the upstream runs.
func (u *Upstream) Serves() string { return u.serves }

// Layers returns the half-open range of layers held, which is empty for a whole replica.
func (u *Upstream) Layers() (first, last int) { return u.first, u.last }

// Virtual reports whether the upstream stands for the stages of a split model, which it has no address of its own to reach.
func (u *Upstream) Virtual() bool { return u.address == "" }

// Report is an upstream's own account of its load; it arrives late.
type Report struct {
	Slots   int     // requests that run at once
	Running int     // requests in slots
	Queued  int     // requests that wait for a slot
	Rate    float64 // tokens a second of one slot
	Leaving bool    // the upstream wants no new work
	// Models are those that an engine holds; nil where it does not say.
	Models []string
}

// Candidate is what a policy knows of one upstream at the moment of choice.
type Candidate struct {
	Name     string
	Ours     int           // requests in flight from this node
	Others   float64       // requests in flight from other nodes, by the late report
	Slots    int           // requests that run at once
	Rate     float64       // tokens a second of one slot
	Link     time.Duration // round trip to the upstream
	Home     bool          // the upstream is in this node's data centre
	Cached   bool          // the prompt's prefix is likely in the upstream's cache
	Queueing time.Duration // wait for a slot that the latest answers from it showed
	Tie      uint64        // decides among equals, the same way on every node
	Favored  bool          // the prefix maps to this upstream by rendezvous hashing
}

// Query is what a policy knows of the request.
type Query struct {
	Tokens  float64 // tokens to generate
	Prefill float64 // tokens' worth of time to read the prompt where it is not cached
	Urgent  bool    // a caller has part of the answer and waits for the next token
}

// Policy chooses among candidates.
type Policy interface {
	// Choose returns an index into the candidates, of which there is at least one; random is a
	// number that differs from call to call.
	Choose(q Query, candidates []Candidate, random uint64) int
	// Windowed reports whether candidates without room are kept from the policy.
	Windowed() bool
}
