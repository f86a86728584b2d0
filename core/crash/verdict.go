package crash

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by its target and body.
type Fingerprint string

// Key returns a hash of the fingerprint.
func (f Fingerprint) Key() uint64 { return xxhash.Sum64String(string(f)) }

// fingerprintBytes is enough for no two bodies of a day to share a fingerprint.
const fingerprintBytes = 16

// NewFingerprint returns the fingerprint of a body sent to a model or service.
func NewFingerprint(target string, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(target))
	h.Write([]byte{0})
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// Verdict is how a request may run: Clear, Suspect or Quarantined.
type Verdict interface{ verdict() }

// Clear is a request without known crashes; a twin has to run where an identical one runs.
type Clear struct{ twin string }

// Suspect is a request that ran on an upstream when that died; it may not meet another suspect.
type Suspect struct {
	twin   string
	avoid  []string
	strong bool
	age    time.Duration
}

// Quarantined is a request that two upstreams died of.
type Quarantined struct{ remaining time.Duration }

func (Clear) verdict()       {}
func (Suspect) verdict()     {}
func (Quarantined) verdict() {}

// Twin returns the upstream that runs an identical request, or "".
func (c Clear) Twin() string { return c.twin }

// Twin returns the upstream that runs an identical request, or "".
func (s Suspect) Twin() string { return s.twin }

// Avoid returns the upstreams that died with the request.
func (s Suspect) Avoid() []string { return s.avoid }

// Strong reports whether an upstream died before it gave the request any token.
func (s Suspect) Strong() bool { return s.strong }

// Age returns the time since the latest mark.
func (s Suspect) Age() time.Duration { return s.age }

// Remaining returns how long the quarantine still lasts.
func (q Quarantined) Remaining() time.Duration { return q.remaining }

// Sign is how an upstream showed its death.
type Sign int

// The signs of death.
const (
	BrokeAtOnce Sign = iota // it broke off before it gave the request a token
	BrokeLater              // it broke off after some tokens, which makes the request less suspect
	FellSilent              // nothing came any more, which a cut link shows as well
)

// SignOf returns the sign of a death by whether the upstream fell silent and whether the request had made progress.
func SignOf(silent, progressed bool) Sign {
	switch {
	case silent:
		return FellSilent
	case progressed:
		return BrokeLater
	}
	return BrokeAtOnce
}

// Mark says that an upstream died while it ran a request; nodes tell each other.
type Mark struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Upstream    string      `json:"upstream"`
	DataCentre  string      `json:"data-centre"`
	Stamp       uint64      `json:"stamp"`
	Sign        Sign        `json:"sign"`
	Cleared     bool        `json:"cleared"` // an operator or a complete answer took the suspicion back
}
