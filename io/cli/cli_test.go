package cli

import (
	"context"
	"io"
	"os"
	"testing"

	"rhubarbspread/io/daemon"
	"rhubarbspread/io/demo"
	"rhubarbspread/io/logs"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"rhubarbspread": func() { os.Exit(Main()) }})
}

// startDemo runs a demo until the end of the script and sets the script's environment variables to its addresses and
// keys.
func startDemo(ts *testscript.TestScript, _ bool, _ []string) {
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	ready := make(chan *demo.Demo, 1)
	config := demo.Config{Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Nodes: 3, Engines: 3, Policy: "finish"}
	go func() {
		result <- demo.Run(ctx, config, logs.New(io.Discard, false), func(d *demo.Demo) { ready <- d })
	}()
	ts.Defer(func() {
		cancel()
		if err := <-result; err != nil {
			ts.Logf("the demo failed: %v", err)
		}
	})
	select {
	case d := <-ready:
		ts.Setenv("CALLER", d.CallerAddresses()[0])
		ts.Setenv("KEY", d.Key())
		ts.Setenv("FAULTS", d.FaultsAddress())
		ts.Setenv(daemon.EnvName("admin"), d.AdminAddresses()[0])
		ts.Setenv(daemon.EnvName("admin-key"), d.AdminKey())
		ts.Setenv(daemon.EnvName("table"), d.TableAddress())
		ts.Setenv(daemon.EnvName("objects"), d.TableAddress())
	case err := <-result:
		result <- err
		ts.Fatalf("the demo did not start: %v", err)
	}
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"demo": startDemo},
	})
}
