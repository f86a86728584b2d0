package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// Document is one valid version of an environment's document.
type Document struct {
	name     string
	models   map[string]*Model
	services map[string]*Service
	teams    map[string]*Team
	kinds    map[string]*UpstreamKind
	limits   Limits
	body     []byte
}

// Model is a language model that teams may ask for.
type Model struct {
	name     string
	version  string
	layers   int
	adapters []string
	replicas int
}

// Service is a plain service behind the system.
type Service struct {
	name   string
	routes []Route
}

// Route tells for which calls of a service a repeat is harmless.
type Route struct {
	method     string
	prefix     string
	idempotent bool
}

// Team is a customer with its keys and its share.
type Team struct {
	name     string
	digests  [][]byte
	weight   float64
	models   []string
	services []string
}

// UpstreamKind is a sort of upstream in the platform's list.
type UpstreamKind struct {
	name          string
	checksFencing bool
}

// Limits are the times and sizes that bound a request.
type Limits struct {
	patience    time.Duration
	progress    time.Duration
	deadline    time.Duration
	retryShare  float64
	bodyBytes   int64
	storedBytes int
	quarantine  time.Duration
}

// Name returns the document's own name, which goes with it from trial to production.
func (d *Document) Name() string { return d.name }

// Model returns the model of a name, or nil.
func (d *Document) Model(name string) *Model { return d.models[name] }

// Models returns all models by name.
func (d *Document) Models() map[string]*Model { return d.models }

// Service returns the service of a name, or nil.
func (d *Document) Service(name string) *Service { return d.services[name] }

// Services returns all services by name.
func (d *Document) Services() map[string]*Service { return d.services }

// Teams returns all teams by name.
func (d *Document) Teams() map[string]*Team { return d.teams }

// Kind returns the upstream kind of a name, or nil.
func (d *Document) Kind(name string) *UpstreamKind { return d.kinds[name] }

// Limits returns the limits in force.
func (d *Document) Limits() Limits { return d.limits }

// Body returns the document's JSON as the operator wrote it.
func (d *Document) Body() []byte { return d.body }

// Digest returns the SHA-256 of the body in hexadecimal digits.
func (d *Document) Digest() string { return Digest(d.body) }

// Digest returns the SHA-256 of a body in hexadecimal digits.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Name returns the model's name.
func (m *Model) Name() string { return m.name }

// Version returns the version that replicas hold.
func (m *Model) Version() string { return m.version }

// Layers returns the number of layers of a split model, and zero for one held whole.
func (m *Model) Layers() int { return m.layers }

// Adapters returns the names of the model's adapters.
func (m *Model) Adapters() []string { return m.adapters }

// Replicas returns the least number of replicas to keep.
func (m *Model) Replicas() int { return m.replicas }

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Idempotent reports whether a call may be repeated; a call that no route names may not.
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

// underPrefix matches whole path segments, so that /status does not cover /status-change.
func underPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}

// Name returns the team's name.
func (t *Team) Name() string { return t.name }

// Weight returns the team's share relative to the others'.
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

// ChecksFencing reports whether upstreams of the kind refuse an order with an old number.
func (k *UpstreamKind) ChecksFencing() bool { return k.checksFencing }

// Patience returns the longest predicted wait that is not refused at once.
func (l Limits) Patience() time.Duration { return l.patience }

// Progress returns how long a stream may be silent before its upstream is probed.
func (l Limits) Progress() time.Duration { return l.progress }

// Deadline returns the longest time that one request may take.
func (l Limits) Deadline() time.Duration { return l.deadline }

// RetryShare returns the retries allowed as a share of first attempts.
func (l Limits) RetryShare() float64 { return l.retryShare }

// BodyBytes returns the largest request body.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// StoredBytes returns the largest answer that the ledger keeps for a repeat.
func (l Limits) StoredBytes() int { return l.storedBytes }

// Quarantine returns how long a request that crashes upstreams is refused.
func (l Limits) Quarantine() time.Duration { return l.quarantine }
