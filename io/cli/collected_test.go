package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestTimelineOfCollectedLogs checks that the logs of two nodes are merged by time and filtered.
func TestTimelineOfCollectedLogs(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	a := write("a.log", `time=2026-01-01T00:00:02.000Z level=INFO event=request-end node=n-1 request=id-1 outcome="503: no room"
a line of something else
time=2026-01-01T00:00:05.000Z level=INFO event=request-end node=n-1 request=id-2 outcome=done
`)
	b := write("b.log", `time=2026-01-01T00:00:01.000Z level=INFO event=attempt-failed node=n-2 request=id-1 path="u1:0-40 u2:40-80" outcome="refused by u2"
`)
	c := write("c.log", `time=2026-01-01T00:00:06.000Z level=INFO event=admission-refused node=n-3 request=id-3 rank=1.2 class-level=0.50 ahead=5
`)
	tests := []struct {
		name string
		args []string
		want []string
		omit []string
		code int
	}{
		{"one request", []string{"timeline", "-request", "id-1", a, b}, []string{"attempt-failed", "request-end"}, []string{"id-2"}, 0},
		{"an upstream anywhere", []string{"timeline", "-upstream", "u2", a, b}, []string{"attempt-failed"}, []string{"request-end"}, 0},
		{"a node", []string{"timeline", "-node", "n-1", a, b}, []string{"id-1", "id-2"}, []string{"attempt-failed"}, 0},
		{"from a time on", []string{"timeline", "-since", "2026-01-01T00:00:03Z", a, b}, []string{"id-2"}, []string{"id-1"}, 0},
		{"a level of admission control", []string{"timeline", "-request", "id-3", c}, []string{"rank=1.2 class-level=0.50 ahead=5"}, []string{"INFO"}, 0},
		{"a bad time", []string{"timeline", "-since", "now", a}, nil, nil, 2},
		{"no such file", []string{"timeline", filepath.Join(dir, "none")}, nil, nil, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			if code := Run(t.Context(), tc.args, &out, &errs); code != tc.code {
				t.Fatalf("exit code %d, want %d: %s", code, tc.code, errs.String())
			}
			offset := 0
			for _, s := range tc.want {
				i := strings.Index(out.String()[offset:], s)
				if i < 0 {
					t.Fatalf("%q lacks %q, or has it in another order", out.String(), s)
				}
				offset += i
			}
			for _, s := range tc.omit {
				if strings.Contains(out.String(), s) {
					t.Errorf("%q contains %q", out.String(), s)
				}
			}
		})
	}
}
