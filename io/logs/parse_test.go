package logs

import (
	"bytes"
	"strings"
	"testing"
)

func TestParseReadsWhatIsWritten(t *testing.T) {
	var out bytes.Buffer
	New(&out, false).WithValues("node", "n 1").Info("attempt-failed", "request", "id-1",
		"outcome", `refused by "x"=3`, "ms", 12, "path", "")
	l, err := Parse("  12.5 n-1 " + out.String())
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{
		"event": "attempt-failed", "node": "n 1", "request": "id-1", "outcome": `refused by "x"=3`, "ms": "12", "path": "",
	}
	for key, value := range want {
		if got := l.Value(key); got != value {
			t.Errorf("%s: %q, want %q", key, got, value)
		}
	}
	if l.Time.IsZero() {
		t.Error("the time is zero")
	}
}

func TestParseRefusesOtherText(t *testing.T) {
	for _, text := range []string{
		"", "panic: x", "time=", "time=yesterday event=x", `time=2026-01-01T00:00:00Z event="x`,
		"time=2026-01-01T00:00:00Z event",
	} {
		if l, err := Parse(text); err == nil {
			t.Errorf("%q parses to %v, want an error", text, l)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(`time=2026-01-01T00:00:00Z level=INFO event=x path="a b"`)
	f.Fuzz(func(t *testing.T, text string) {
		l, err := Parse(text)
		if err == nil && !strings.Contains(text, "time=") {
			t.Fatalf("%v parsed from %q, which has no time=", l, text)
		}
	})
}
