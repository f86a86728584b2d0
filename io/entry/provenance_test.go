package entry

import (
	"strings"
	"testing"
	"time"

	"rhubarbspread/core/rules"
	"rhubarbspread/core/store"
	"rhubarbspread/io/hop"
	"rhubarbspread/io/mesh"

	"github.com/go-logr/logr/funcr"
)

// TestConfigurationLineTellsTheWayItCame guards against versions of which the log does not tell how and when a node got them.
func TestConfigurationLineTellsTheWayItCame(t *testing.T) {
	for _, tc := range []struct {
		name string
		ch   change
		want []string
	}{
		{"own poll", change{fromStore: true, word: mesh.Word{Changed: revision(7), ConfirmedAt: time.Now()}},
			[]string{`"source"="store"`, `"revision"=7`, `"noticed-ms"=0`, `"role"="alone"`, `"confirmed-by"=""`}},
		{"another node", change{from: mesh.Peer{Name: "node-3"}, word: mesh.Word{ConfirmedAt: time.Now()}},
			[]string{`"source"="node"`, `"other"="node-3"`}},
		{"a seed without the store's word", change{from: mesh.Peer{Name: seedName, RPCAddress: "10.0.0.1:7000"}},
			[]string{`"source"="seed"`, `"other"="10.0.0.1:7000"`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var lines []string
			n := New(Config{}, Platform{
				NewEngines:  func(*hop.Pool) Engines { return nil },
				DecodeRules: func([]byte) (*rules.Rules, error) { return rules.New(3, nil, nil, rules.Open{}, rules.Limits{}), nil },
			}, funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{}))
			tc.ch.topic, tc.ch.rows = store.Configuration, []store.FeedRow{{Value: []byte("{}")}}
			newControl(n).handle(tc.ch)
			got := strings.Join(lines, "\n")
			for _, want := range append(tc.want, `"version"=3`) {
				if !strings.Contains(got, want) {
					t.Errorf("no %s in %s", want, got)
				}
			}
		})
	}
}
