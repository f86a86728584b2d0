package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Names in the demo's configuration document, and its environments.
const (
	Assistant             = "assistant"
	Drafter               = "drafter"
	Booking               = "booking"
	ProductionEnvironment = "production"
	TrialEnvironment      = "trial"
	SplitLayers           = 12 // layers of Drafter
)

// document returns the demo's configuration document, in which the team has the given bearer key.
func document(key string) []byte {
	sum := sha256.Sum256([]byte(key))
	text := fmt.Sprintf(`{
  "name": "demo",
  "models": [
    {"name": %q, "version": "1"},
    {"name": %q, "version": "1", "layers": %d}
  ],
  "services": [
    {"name": %q, "routes": [{"method": "GET", "prefix": "/status", "idempotent": true}]}
  ],
  "teams": [
    {"name": "garden", "key-digests": ["sha256:%s"], "models": ["*"], "services": ["*"]}
  ],
  "upstream-kinds": [
    {"name": "engine", "checks-fencing": true},
    {"name": "layers", "checks-fencing": false},
    {"name": "plain", "checks-fencing": false}
  ],
  "limits": {"patience-ms": 400, "progress-ms": 600, "deadline-ms": 60000, "retry-percent": 10}
}
`, Assistant, Drafter, SplitLayers, Booking, hex.EncodeToString(sum[:]))
	if !json.Valid([]byte(text)) {
		panic("demo: the generated document is not valid JSON")
	}
	return []byte(text)
}
