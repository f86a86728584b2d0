package cli

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"rhubarbspread/io/entry"
)

// TestExplainRoute guards against a command that prints a key, hides that a node did not answer, or asks for another request.
func TestExplainRoute(t *testing.T) {
	var got entry.RouteQuery
	var gotBody string
	live := entry.LiveNodes{Node: "n0"} // without an age, as nodes of older builds answer
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method+r.URL.Path != "POST"+entry.ExplainPath && r.Method+r.URL.Path != "GET"+entry.ExplainNodesPath || r.Header.Get("Authorization") != "Bearer operator-secret" {
			http.Error(w, "the secret is missing or wrong", http.StatusUnauthorized)
			return
		}
		if r.Method == http.MethodGet {
			_ = json.NewEncoder(w).Encode(live)
			return
		}
		raw := r.FormValue("query")
		if gotBody = r.FormValue("body"); raw == "" {
			rest, _ := io.ReadAll(r.Body)
			raw = string(rest)
		}
		if err := json.Unmarshal([]byte(raw), &got); err != nil {
			t.Error(err)
		}
		if err := json.NewEncoder(w).Encode(entry.RouteExplanation{
			Node: "n1", Decision: entry.DecisionWaits, Route: "r", Services: []string{"m"}, Class: "1.0",
			Admission: &entry.AdmissionExplained{Level: 0.5, LevelAgeMS: 150, Ahead: 3},
			Others:    []entry.PathExplained{{Cost: 12, Stages: []entry.StageExplained{{Upstream: "u1", To: 40}}}},
			Refusal:   &entry.RefusalExplained{Status: 503, Cause: "no upstream has room", AfterMS: 400, RetryAfterMinMS: 900, RetryAfterMaxMS: 1800},
			LeftOut:   []entry.LeftOut{{Upstream: "u2", DataCentre: "a", Reason: "no-room"}}, LeftOutCount: map[string]int{"no-room": 1},
		}); err != nil {
			t.Error(err)
		}
	}))
	defer node.Close()
	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	offAddress := serve(http.NotFoundHandler())
	olderAddress := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "requests 1\n") }))
	elsewhere := serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("a query has followed a redirect") }))
	silent := httptest.NewUnstartedServer(nil) // its listener accepts, and nothing answers
	defer silent.Close()
	silentAddress := silent.Listener.Addr().String()
	redirectAddress := serve(http.RedirectHandler("http://"+elsewhere, http.StatusTemporaryRedirect))
	dir := t.TempDir()
	file := func(name, content string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	secret, wrong, empty, key := file("secret", "operator-secret\n"), file("wrong", "other"), file("empty", "\n"), file("key", "caller-file\n")
	body, large := file("body", "caller-body"), file("large", strings.Repeat("b", entry.MaxExplainedBody+1))
	address := strings.TrimPrefix(node.URL, "http://")
	for _, a := range []string{address, offAddress, "invalid IP:9100", olderAddress, redirectAddress} {
		live.Nodes = append(live.Nodes, entry.LiveNode{Node: "n4", Address: a})
	}
	for _, tc := range []struct {
		name    string
		args    []string
		code    int
		wantKey string   // that the node is asked with
		want    []string // in the output
	}{
		{"text", []string{"-nodes", address, "-explain-key-file", secret}, 0, "caller-env", []string{"waits", "class 1.0, level 0.50 (counts 150 ms old), ahead 3",
			"refused after 400 ms with 503: no upstream has room", "Retry-After 900 to 1800 ms", "u1", "0-40", "u2 (a): no-room"}},
		{"JSON and a key from a file", []string{"-nodes", address, "-explain-key-file", secret, "-json", "-caller-key-file", key}, 0, "caller-file",
			[]string{`"retry-after-min-ms":900`}},
		{"one of two nodes is off", []string{"-nodes", address + "," + offAddress, "-explain-key-file", secret}, 3, "caller-env",
			[]string{"waits", offAddress + " (404: the node has no -explain-key-file or is of an older build)"}},
		{"live nodes", []string{"-nodes", offAddress + "," + address, "-all", "-explain-key-file", secret, "-body-file", body}, 3, "caller-env",
			[]string{"live nodes named by n0: 5 others, list of nodes of unknown age", "waits", "node n4 (no address)", offAddress + " (404: ", olderAddress + " (no JSON in the answer: the node is of an older build)", redirectAddress + " (307"}},
		{"no list of live nodes", []string{"-nodes", olderAddress, "-all", "-explain-key-file", secret}, 3, "",
			[]string{"other live nodes, as none of these named them: " + olderAddress, olderAddress + " (no JSON"}},
		{"no answer", []string{"-nodes", silentAddress, "-timeout", "50ms", "-explain-key-file", secret}, 3, "", []string{silentAddress + " (no answer within 50ms)"}},
		{"too large a body", []string{"-nodes", address, "-explain-key-file", secret, "-body-file", large}, 2, "", []string{"is larger than 4194304 bytes"}},
		{"a wrong secret", []string{"-nodes", address, "-explain-key-file", wrong}, 3, "", []string{"401 the secret is missing or wrong"}},
		{"an empty secret", []string{"-nodes", address, "-explain-key-file", empty}, 2, "", []string{"is empty"}},
		{"no secret", []string{"-nodes", address}, 2, "", []string{"-explain-key-file are needed"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Setenv("RHUBARBSPREAD_CALLER_KEY", "caller-env")
			got, gotBody = entry.RouteQuery{}, ""
			var out bytes.Buffer
			args := append([]string{"explain-route", "-host", "h", "-path", "/x/", "-prompt-tokens", "800", "-prompt-parts", "0a,0b", "-deadline", "2s"}, tc.args...)
			if code := Run(t.Context(), args, &out, &out); code != tc.code {
				t.Errorf("exit code %d, want %d", code, tc.code)
			}
			for _, want := range tc.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("no %q in the output:\n%s", want, &out)
				}
			}
			if strings.Contains(out.String(), "caller-") || strings.Contains(out.String(), "operator-secret") {
				t.Errorf("a key is in the output:\n%s", &out)
			}
			if got.Key != tc.wantKey || tc.wantKey != "" && (got.Host != "h" || got.PromptTokens != 800 || len(got.PromptParts) != 2 || got.DeadlineMS != 2000) {
				t.Errorf("asked %+v, want the key %q", got, tc.wantKey)
			}
			if hasBody := slices.Contains(tc.args, body); hasBody && gotBody != "caller-body" || !hasBody && gotBody != "" {
				t.Errorf("asked with the body %q, want that of the file", gotBody)
			}
		})
	}
}
