package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// Document is a valid configuration document of an environment.
type Document struct {
	name     string
	models   map[string]*Model
	services map[string]*Service
	teams    map[string]*Team
	kinds    map[string]*UpstreamKind
	limits   Limits
	body     []byte // the JSON as the operator wrote it
}

// Model is a language model that teams may call.
type Model struct {
	name     string
	version  string
	layers   int // zero for a model that each engine holds whole
	adapters []string
	replicas int // minimum
}

// Service is a plain (non-model) service.
type Service struct {
	name   string
	routes []Route
}

// Route says whether the calls of a service with a method and path prefix are idempotent.
type Route struct {
	method     string
	prefix     string
	idempotent bool
}

// Team is a team of callers with its API keys, its weight and what it may call.
type Team struct {
	name     string
	digests  [][]byte // SHA-256 of its keys
	weight   float64  // relative to the other teams
	models   []string // that it may call; "*" stands for all
	services []string // that it may call; "*" stands for all
}

// UpstreamKind is a kind of upstream in the platform's list.
type UpstreamKind struct {
	name          string
	checksFencing bool
}

// Limits are the limits on a request's time, size and retries.
type Limits struct {
	maxPredictedWait time.Duration
	progressTimeout  time.Duration
	deadline         time.Duration
	retryShare       float64
	bodyBytes        int64
	storedBytes      int
	quarantine       time.Duration
}

// Name returns the document's name, which it keeps when it is promoted to another environment.
func (d *Document) Name() string { return d.name }

// Model returns the named model, or nil.
func (d *Document) Model(name string) *Model { return d.models[name] }

// Models returns all models by name.
func (d *Document) Models() map[string]*Model { return d.models }

// Service returns the named service, or nil.
func (d *Document) Service(name string) *Service { return d.services[name] }

// Services returns all services by name.
func (d *Document) Services() map[string]*Service { return d.services }

// Teams returns all teams by name.
func (d *Document) Teams() map[string]*Team { return d.teams }

// Kind returns the named upstream kind, or nil.
func (d *Document) Kind(name string) *UpstreamKind { return d.kinds[name] }

// Limits returns the limits, with defaults for those that the document omits.
func (d *Document) Limits() Limits { return d.limits }

// Body returns the document's JSON as the operator wrote it.
func (d *Document) Body() []byte { return d.body }

// Digest returns the SHA-256 of the body in hexadecimal.
func (d *Document) Digest() string { return Digest(d.body) }

// Digest returns the SHA-256 of a body in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Name returns the model's name.
func (m *Model) Name() string { return m.name }

// Version returns the version of the model that replicas should hold.
func (m *Model) Version() string { return m.version }

// Layers returns the number of layers of a model that is split over upstreams, and zero for one that is not split.
func (m *Model) Layers() int { return m.layers }

// Adapters returns the names of the model's adapters.
func (m *Model) Adapters() []string { return m.adapters }

// Replicas returns the minimum number of replicas.
func (m *Model) Replicas() int { return m.replicas }

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Idempotent reports whether a call is idempotent by the route with the longest matching prefix. A call that
// matches no route is not.
func (s *Service) Idempotent(method, path string) bool {
	longest := -1
	idempotent := false
	for _, r := range s.routes {
		if r.method == method && underPrefix(path, r.prefix) && len(r.prefix) > longest {
			longest = len(r.prefix)
			idempotent = r.idempotent
		}
	}
	return idempotent
}

// underPrefix reports whether prefix matches whole segments of path, so that /status does not match /status-change.
func underPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}

// Name returns the team's name.
func (t *Team) Name() string { return t.name }

// Weight returns the team's share of capacity relative to the other teams'.
func (t *Team) Weight() float64 { return t.weight }

// MayUse reports whether the team may call a model or service.
func (t *Team) MayUse(name string) bool {
	return contains(t.models, name) || contains(t.services, name)
}

// Models returns the names of the models that the team may call.
func (t *Team) Models() []string { return t.models }

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name || n == "*" {
			return true
		}
	}
	return false
}

// Name returns the kind's name.
func (k *UpstreamKind) Name() string { return k.name }

// ChecksFencing reports whether upstreams of the kind reject an order with an outdated fencing token.
func (k *UpstreamKind) ChecksFencing() bool { return k.checksFencing }

// MaxPredictedWait returns the limit on a request's predicted wait; a request with a longer one is refused at once.
func (l Limits) MaxPredictedWait() time.Duration { return l.maxPredictedWait }

// ProgressTimeout returns how long a stream may make no progress before its upstream is probed.
func (l Limits) ProgressTimeout() time.Duration { return l.progressTimeout }

// Deadline returns the limit on the total time of a request.
func (l Limits) Deadline() time.Duration { return l.deadline }

// RetryShare returns the retries allowed as a fraction of first attempts.
func (l Limits) RetryShare() float64 { return l.retryShare }

// BodyBytes returns the size limit of a request body.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// StoredBytes returns the size limit of an answer that the ledger stores for repeats.
func (l Limits) StoredBytes() int { return l.storedBytes }

// Quarantine returns how long a request that crashed upstreams is refused.
func (l Limits) Quarantine() time.Duration { return l.quarantine }
