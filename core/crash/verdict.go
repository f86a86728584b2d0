package crash

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies what may crash upstreams: a request by its target and body, or one part of the prompts of many
// requests.
type Fingerprint string

// partPrefix begins the fingerprints of parts.
const partPrefix = "part-"

// Key returns a hash of the fingerprint.
func (f Fingerprint) Key() uint64 { return xxhash.Sum64String(string(f)) }

// fingerprintBytes is long enough to make a collision between the request bodies of a day practically impossible.
const fingerprintBytes = 16

// NewFingerprint returns the fingerprint of a request body for a target, such as a model or service.
func NewFingerprint(target string, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(target))
	h.Write([]byte{0})
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// NewPartFingerprint returns the fingerprint of a part of prompts for a target.
func NewPartFingerprint(target, part string) Fingerprint {
	return partPrefix + NewFingerprint(target, []byte(part))
}

// IsPart reports whether the fingerprint is that of a part, which many requests may share.
func (f Fingerprint) IsPart() bool { return strings.HasPrefix(string(f), partPrefix) }

// maxSuspectParts bounds how many parts of a prompt can be suspected.
const maxSuspectParts = 32

// NewPartFingerprints returns the fingerprints of the parts of a prompt for a target, each once. The last part belongs to
// one request or session and is left out, as are empty ones.
func NewPartFingerprints(target string, parts []string) []Fingerprint {
	var list []Fingerprint
	for i, part := range parts {
		if part == "" || i == len(parts)-1 || len(list) == maxSuspectParts {
			continue
		}
		if f := NewPartFingerprint(target, part); !slices.Contains(list, f) {
			list = append(list, f)
		}
	}
	return list
}

// Verdict says whether and where a request may run: Clear, Suspect or Quarantined.
type Verdict interface{ verdict() }

// Clear is the verdict on a request without known crashes. Duplicates in flight have to run at the same upstream.
type Clear struct{ duplicateAt string }

// Suspect is the verdict on a request that ran on an upstream when the upstream died. It may not run on the same
// upstream as another suspect.
type Suspect struct {
	duplicateAt string
	avoid       []string
	strong      bool
	age         time.Duration
}

// Quarantined is the verdict on a request that crashed several upstreams. It runs on trial only.
type Quarantined struct {
	remaining  time.Duration
	untilTrial time.Duration
}

func (Clear) verdict()       {}
func (Suspect) verdict()     {}
func (Quarantined) verdict() {}

// DuplicateAt returns the upstream that runs an identical request, or "".
func (c Clear) DuplicateAt() string { return c.duplicateAt }

// DuplicateAt returns the upstream that runs an identical request, or "".
func (s Suspect) DuplicateAt() string { return s.duplicateAt }

// Avoid returns the upstreams that died while they ran the request.
func (s Suspect) Avoid() []string { return s.avoid }

// Strong reports whether the suspicion is strong enough for all nodes to run the request at one upstream only.
func (s Suspect) Strong() bool { return s.strong }

// Age returns the time since the latest mark.
func (s Suspect) Age() time.Duration { return s.age }

// Remaining returns the time until the quarantine ends.
func (q Quarantined) Remaining() time.Duration { return q.remaining }

// UntilTrial returns the time until a copy may run on trial, or until the quarantine ends if none may.
func (q Quarantined) UntilTrial() time.Duration { return q.untilTrial }

// Symptom is how a node noticed the death of an upstream.
type Symptom int

// The symptoms of a death.
const (
	BrokeBeforeFirstToken Symptom = iota // the connection broke before the request's first token
	BrokeAfterTokens                     // the connection broke after some tokens, which makes the request less suspect
	WentSilent                           // no data arrived any more, which a network partition causes as well
)

// String returns the symptom's name as logs show it.
func (s Symptom) String() string {
	names := [...]string{"broke-before-first-token", "broke-after-tokens", "went-silent"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// SymptomOf returns the symptom of a death by whether the upstream went silent and whether the request had progressed.
func SymptomOf(silent, progressed bool) Symptom {
	switch {
	case silent:
		return WentSilent
	case progressed:
		return BrokeAfterTokens
	}
	return BrokeBeforeFirstToken
}

// Mark states that an upstream died while it ran a request, or a request with a part, or that the request or part is
// cleared. Nodes exchange marks.
type Mark struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Upstream    string      `json:"upstream"`
	DataCentre  string      `json:"data-centre"`
	Stamp       uint64      `json:"stamp"` // orders marks across nodes
	Symptom     Symptom     `json:"sign"`
	Cleared     bool        `json:"cleared"` // an operator or a complete answer removed the suspicion

	Age         time.Duration `json:"-"` // of the death or the clearance, when the mark was sent
	Ran         time.Duration `json:"-"` // for how long the request had run at the death; 0 if that is not known
	Quarantined bool          `json:"-"` // the sender has the request in quarantine
	Prolonged   int           `json:"-"` // how often the sender's quarantine was prolonged
}
