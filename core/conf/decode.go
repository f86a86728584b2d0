package conf

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"
)

// Error lists all faults of a document.
type Error struct{ faults []string }

// Error returns all faults on one line.
func (e *Error) Error() string { return "document: " + strings.Join(e.faults, "; ") }

// Faults returns one message per fault, with the path of the faulty member.
func (e *Error) Faults() []string { return e.faults }

func (e *Error) addf(format string, args ...any) {
	e.faults = append(e.faults, fmt.Sprintf(format, args...))
}

// body is the JSON schema of a document. The type's name appears in the fault of a document that is not a JSON
// object.
type body struct {
	Name   string `json:"name"`
	Models []struct {
		Name     string   `json:"name"`
		Version  string   `json:"version"`
		Layers   int      `json:"layers"`
		Adapters []string `json:"adapters"`
		Replicas int      `json:"replicas"`
	} `json:"models"`
	Services []struct {
		Name   string `json:"name"`
		Routes []struct {
			Method     string `json:"method"`
			Prefix     string `json:"prefix"`
			Idempotent bool   `json:"idempotent"`
		} `json:"routes"`
	} `json:"services"`
	Teams []struct {
		Name       string   `json:"name"`
		KeyDigests []string `json:"key-digests"`
		Weight     *float64 `json:"weight"`
		Models     []string `json:"models"`
		Services   []string `json:"services"`
	} `json:"teams"`
	UpstreamKinds []struct {
		Name          string `json:"name"`
		ChecksFencing bool   `json:"checks-fencing"`
	} `json:"upstream-kinds"`
	Limits struct {
		PatienceMS    int     `json:"patience-ms"`
		ProgressMS    int     `json:"progress-ms"`
		DeadlineMS    int     `json:"deadline-ms"`
		RetryPercent  float64 `json:"retry-percent"`
		BodyBytes     int64   `json:"body-bytes"`
		StoredBytes   int     `json:"stored-bytes"`
		QuarantineSec int     `json:"quarantine-s"`
	} `json:"limits"`
}

// Defaults of the limits that a document omits.
const (
	defaultMaxPredictedWait = 500 * time.Millisecond
	defaultProgressTimeout  = 1 * time.Second
	defaultDeadline         = 120 * time.Second
	defaultRetryShare       = 0.1
	defaultBodyBytes        = 1 << 20
	defaultStoredBytes      = 64 << 10
	defaultQuarantine       = 10 * time.Minute
)

// maxDocumentBytes limits the size of a document.
const maxDocumentBytes = 4 << 20

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Decode decodes and validates a document. Unknown members are faults; the error is an *Error that lists all faults.
func Decode(raw []byte) (*Document, error) {
	if len(raw) > maxDocumentBytes {
		return nil, &Error{faults: []string{fmt.Sprintf("larger than %d bytes", maxDocumentBytes)}}
	}
	var b body
	if err := decodeStrict(raw, &b); err != nil {
		return nil, err
	}
	e := &Error{}
	d := &Document{name: b.Name, body: bytes.Clone(raw)}
	if !namePattern.MatchString(b.Name) {
		e.addf("name: %q is not a name", b.Name)
	}
	d.readModels(&b, e)
	d.readServices(&b, e)
	d.readTeams(&b, e)
	d.readKinds(&b, e)
	d.readLimits(&b, e)
	if len(e.faults) > 0 {
		return nil, e
	}
	return d, nil
}

func decodeStrict(raw []byte, b *body) error {
	e := &Error{}
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		e.addf("%s", jsonFault(raw, err))
		return e
	}
	checkMembers(value, schemaOf(b), "", e)
	if len(e.faults) > 0 {
		return e
	}
	if err := json.Unmarshal(raw, b); err != nil {
		e.addf("%s", jsonFault(raw, err))
		return e
	}
	return nil
}

// jsonFault describes a decoding error by its line or member.
func jsonFault(raw []byte, err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(raw[:min(int(syntax.Offset), len(raw))], []byte("\n"))
		return fmt.Sprintf("line %d: %v", line, err)
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return fmt.Sprintf("%s: wants %s, has a %s", mismatch.Field, mismatch.Type, mismatch.Value)
	}
	return err.Error()
}

func checkName(e *Error, duplicate bool, path, name string) {
	if !namePattern.MatchString(name) {
		e.addf("%s.name: %q is not a name (a-z, 0-9, dot, hyphen, at most 63)", path, name)
	}
	if duplicate {
		e.addf("%s.name: %q stands twice", path, name)
	}
}

func (d *Document) readModels(b *body, e *Error) {
	d.models = make(map[string]*Model, len(b.Models))
	for i, m := range b.Models {
		path := fmt.Sprintf("models[%d]", i)
		checkName(e, d.models[m.Name] != nil, path, m.Name)
		if m.Layers < 0 {
			e.addf("%s.layers: %d is negative", path, m.Layers)
		}
		if m.Replicas < 0 {
			e.addf("%s.replicas: %d is negative", path, m.Replicas)
		}
		d.models[m.Name] = &Model{
			name: m.Name, version: m.Version, layers: m.Layers, adapters: m.Adapters, replicas: m.Replicas,
		}
	}
}

func (d *Document) readServices(b *body, e *Error) {
	d.services = make(map[string]*Service, len(b.Services))
	for i, s := range b.Services {
		path := fmt.Sprintf("services[%d]", i)
		checkName(e, d.services[s.Name] != nil || d.models[s.Name] != nil, path, s.Name)
		service := &Service{name: s.Name}
		for j, r := range s.Routes {
			if r.Method == "" || !strings.HasPrefix(r.Prefix, "/") {
				e.addf("%s.routes[%d]: wants a method and a prefix that begins with /", path, j)
			}
			service.routes = append(service.routes, Route{method: r.Method, prefix: r.Prefix, idempotent: r.Idempotent})
		}
		d.services[s.Name] = service
	}
}

func (d *Document) readTeams(b *body, e *Error) {
	d.teams = make(map[string]*Team, len(b.Teams))
	owners := make(map[string]string) // team by key digest
	for i, t := range b.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		checkName(e, d.teams[t.Name] != nil, path, t.Name)
		team := &Team{name: t.Name, weight: 1, models: t.Models, services: t.Services}
		if t.Weight != nil {
			team.weight = *t.Weight
		}
		if team.weight <= 0 {
			e.addf("%s.weight: %v is not above zero", path, team.weight)
		}
		team.digests = readDigests(t.KeyDigests, path, e)
		for _, digest := range team.digests {
			if owner, taken := owners[string(digest)]; taken {
				e.addf("%s.key-digests: a key of team %q too", path, owner)
			}
			owners[string(digest)] = t.Name
		}
		d.checkReferences(path, t.Models, t.Services, e)
		d.teams[t.Name] = team
	}
}

// checkReferences reports models and services that a team may call but that the document does not define.
func (d *Document) checkReferences(path string, models, services []string, e *Error) {
	for j, name := range models {
		if name != "*" && d.models[name] == nil {
			e.addf("%s.models[%d]: no model %q", path, j, name)
		}
	}
	for j, name := range services {
		if name != "*" && d.services[name] == nil {
			e.addf("%s.services[%d]: no service %q", path, j, name)
		}
	}
}

func readDigests(texts []string, path string, e *Error) [][]byte {
	var out [][]byte
	for j, text := range texts {
		digits, ok := strings.CutPrefix(text, "sha256:")
		sum, err := hex.DecodeString(digits)
		if !ok || err != nil || len(sum) != 32 {
			e.addf("%s.key-digests[%d]: wants sha256: and 64 hexadecimal digits", path, j)
			continue
		}
		out = append(out, sum)
	}
	return out
}

func (d *Document) readKinds(b *body, e *Error) {
	d.kinds = make(map[string]*UpstreamKind, len(b.UpstreamKinds))
	for i, k := range b.UpstreamKinds {
		checkName(e, d.kinds[k.Name] != nil, fmt.Sprintf("upstream-kinds[%d]", i), k.Name)
		d.kinds[k.Name] = &UpstreamKind{name: k.Name, checksFencing: k.ChecksFencing}
	}
}

func (d *Document) readLimits(b *body, e *Error) {
	l := b.Limits
	d.limits = Limits{
		maxPredictedWait: millisecondsOr(l.PatienceMS, defaultMaxPredictedWait),
		progressTimeout:  millisecondsOr(l.ProgressMS, defaultProgressTimeout),
		deadline:         millisecondsOr(l.DeadlineMS, defaultDeadline),
		retryShare:       defaultRetryShare,
		bodyBytes:        defaultBodyBytes,
		storedBytes:      defaultStoredBytes,
		quarantine:       defaultQuarantine,
	}
	if l.RetryPercent > 0 {
		d.limits.retryShare = l.RetryPercent / 100
	}
	if l.BodyBytes > 0 {
		d.limits.bodyBytes = l.BodyBytes
	}
	if l.StoredBytes > 0 {
		d.limits.storedBytes = l.StoredBytes
	}
	if l.QuarantineSec > 0 {
		d.limits.quarantine = time.Duration(l.QuarantineSec) * time.Second
	}
	if l.PatienceMS < 0 || l.ProgressMS < 0 || l.DeadlineMS < 0 || l.RetryPercent < 0 || l.RetryPercent > 100 ||
		l.BodyBytes < 0 || l.StoredBytes < 0 || l.QuarantineSec < 0 {
		e.addf("limits: a negative value, or retry-percent over 100")
	}
}

func millisecondsOr(ms int, fallback time.Duration) time.Duration {
	if ms <= 0 {
		return fallback
	}
	return time.Duration(ms) * time.Millisecond
}
