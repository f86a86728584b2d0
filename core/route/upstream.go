package route

import "time"

// Upstream is one replica of a model or service, or of a layer range of a model, as listed by the platform.
type Upstream struct {
	name       string
	address    string
	dataCentre string
	kind       string
	serves     string
	firstLayer int
	endLayer   int
}

// UpstreamOption configures an Upstream.
type UpstreamOption func(*Upstream)

// WithLayers sets the half-open range [first, last) of layers of a split model that the upstream holds.
func WithLayers(first, last int) UpstreamOption {
	return func(u *Upstream) { u.firstLayer, u.endLayer = first, last }
}

// WithKind sets the name of the upstream's kind.
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

// Layers returns the half-open range of layers that the upstream holds, which is empty for a whole replica.
func (u *Upstream) Layers() (first, last int) { return u.firstLayer, u.endLayer }

// Virtual reports whether the upstream represents all stages of a split model; it has no address of its own.
func (u *Upstream) Virtual() bool { return u.address == "" }

// Report is the load that an upstream reports; it describes a past moment.
type Report struct {
	Slots   int     // largest number of concurrent requests
	Running int     // requests that occupy a slot
	Queued  int     // requests waiting for a slot
	Rate    float64 // tokens/s of one slot
	Leaving bool    // whether the upstream accepts no new requests
	// Models are the models that an engine holds; nil if it does not report them.
	Models []string
}

// Candidate is what a policy knows of one upstream.
type Candidate struct {
	Name           string
	InFlight       int           // requests in flight from this node
	OtherInFlight  float64       // estimate of other nodes' requests in flight, from the latest report
	Slots          int           // largest number of concurrent requests
	Rate           float64       // tokens/s of one slot
	RTT            time.Duration // round-trip time to the upstream
	SameDataCentre bool          // whether the upstream is in this node's data centre
	PrefixCached   bool          // whether the prompt's prefix is likely in the upstream's cache
	QueueDelay     time.Duration // wait for a slot, estimated from recent times to first token
	TieBreak       uint64        // decides between equal candidates; the same on all nodes
	PrefixOwner    bool          // whether the upstream is the primary owner of the prefix by rendezvous hashing
}

// Query is what a policy knows of the request.
type Query struct {
	Tokens  float64 // tokens to generate
	Prefill float64 // tokens that could be generated in the time that the prefill of an uncached prompt takes
	Urgent  bool    // whether the request is resumed, with a caller that may have part of the response
}

// Policy chooses an upstream among candidates.
type Policy interface {
	// Choose returns an index into candidates, of which there is at least one. The random number differs from
	// call to call.
	Choose(q Query, candidates []Candidate, random uint64) int
	// Windowed reports whether the policy needs upstreams with a full window to be left out of the candidates.
	Windowed() bool
}
