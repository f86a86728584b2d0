package rules

import (
	"math"
	"testing"
	"time"
)

func TestMatch(t *testing.T) {
	r := New(3, []*Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, nil, Limits{})
	tests := []struct{ name, host, path, want string }{
		{"longest prefix", "a.example", "/x/y/z", "long"},
		{"shorter prefix", "a.example", "/x/z", "short"},
		{"port and case of the host", "A.Example:8080", "/x/z", "short"},
		{"host decides", "b.example", "/x/y/z", "other"},
		{"prefix without its slash", "a.example", "/x", ""},
		{"no such host", "c.example", "/x/", ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := ""
			if m := r.Match(tc.host, tc.path); m != nil {
				got = m.Name
			}
			if got != tc.want {
				t.Errorf("route %q, want %q", got, tc.want)
			}
		})
	}
}

func TestServiceFollowsWeights(t *testing.T) {
	r := &Route{Split: []Share{{"a", 90}, {"b", 10}}}
	const draws = 1000
	counts := make(map[string]int)
	for i := range draws {
		counts[r.Service(float64(i)/draws)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Errorf("requests by service: %v, want 900 and 100", counts)
	}
	for _, tc := range []struct {
		split  []Share
		random float64
		want   string
	}{
		{[]Share{{"a", 0}}, 0.5, ""},
		{[]Share{{"a", 0}, {"b", 0}}, 0, ""},
		{[]Share{{"a", 0}, {"b", 1}}, 0, "b"},
		{[]Share{{"a", 0.1}, {"b", 0.2}, {"c", 0}}, math.Nextafter(1, 0), "b"},
	} {
		if got := (&Route{Split: tc.split}).Service(tc.random); got != tc.want {
			t.Errorf("service %q of %v at %v, want %q", got, tc.split, tc.random, tc.want)
		}
	}
	if got := (&Route{}).Service(0.5); got != "" {
		t.Errorf("service %q of a route without services, want none", got)
	}
}

func TestRepeatable(t *testing.T) {
	tests := []struct {
		name string
		r    Route
		want bool
	}{
		{"idempotent", Route{Kind: Idempotent}, true},
		{"not idempotent", Route{Kind: NonIdempotent}, false},
		{"stream", Route{Kind: Streaming}, false},
		{"resumable stream", Route{Kind: Streaming, Resumable: true}, true},
		{"resumable flag on a call", Route{Kind: NonIdempotent, Resumable: true}, false},
	}
	for _, tc := range tests {
		if got := tc.r.Repeatable(); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestKeys(t *testing.T) {
	open := New(1, nil, nil, Open{}, Limits{})
	if open.NeedsKey(&Route{}) {
		t.Error("a key is required though the configuration has no teams")
	}
	r := New(1, nil, nil, Keyed{"k": {Name: "t", Priority: 2}}, Limits{})
	if !r.NeedsKey(&Route{}) || r.NeedsKey(&Route{Public: true}) {
		t.Error("a key must be required on all routes but public ones")
	}
	if team, ok := r.Team("k"); !ok || team.Name != "t" {
		t.Errorf("team of the key: %v, %v", team, ok)
	}
	if _, ok := r.Team(""); ok {
		t.Error("an empty key has a team")
	}
	if closed := New(1, nil, nil, Keyed{}, Limits{}); !closed.NeedsKey(&Route{}) || closed.NeedsKey(&Route{Public: true}) {
		t.Error("a key must be required on all routes but public ones though there are none")
	}
}

// TestPrefillRate checks the arithmetic of an engine's timing: a pass runs its decode steps, then prefills one chunk.
func TestPrefillRate(t *testing.T) {
	e := &Engine{
		Layers: 80, DecodeStep: time.Millisecond, PerSequence: 10 * time.Microsecond,
		PrefillTokensPerSecond: 100_000, StepsPerPass: 3, PrefillChunk: 500,
	}
	c := Card{DecodeFactor: 4, PrefillFactor: 2}
	// 500 tokens through 20 of 80 layers: 500/100,000 s x 2 x 0.25 = 2.5 ms.
	if got, want := e.PrefillRate(c, 20, 0, 0), 500/0.0025; math.Abs(got-want) > 1 {
		t.Errorf("prefill rate without decoding %v, want %v", got, want)
	}
	// Three steps of (1 + 100 x 0.01) ms x 4 x 0.25 = 6 ms precede each chunk.
	if got, want := e.PassTime(c, 20, 100, 0), 6*time.Millisecond; got != want {
		t.Errorf("pass %v, want %v", got, want)
	}
	if got, want := e.PrefillRate(c, 20, 100, 0), 500/0.0085; math.Abs(got-want) > 1 {
		t.Errorf("prefill rate beside 100 decoding sequences %v, want %v", got, want)
	}
}

func TestKVCapacity(t *testing.T) {
	e := &Engine{Layers: 80, LayerMB: 1750, TokenBytes: 918_000}
	c := Card{SizeMB: 21_600}
	if got := e.MaxLayers(c); got != 12 {
		t.Errorf("layers that fit: %d, want 12", got)
	}
	if got := e.KVCapacity(c, 8) / 8; math.Abs(got-82_788) > 1 {
		t.Errorf("tokens beside 8 layers: %v, want 82,788", got)
	}
	if got := e.KVCapacity(c, 13); got != 0 {
		t.Errorf("capacity beside more layers than fit: %v, want 0", got)
	}
}
