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

// startDemo runs a demo for the rest of a script and sets its addresses and keys in the environment.
func startDemo(ts *testscript.TestScript, _ bool, _ []string) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	up := make(chan *demo.Demo, 1)
	config := demo.Config{Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Nodes: 3, Engines: 3, Policy: "finish"}
	go func() {
		ended <- demo.Run(ctx, config, logs.New(io.Discard, false), func(d *demo.Demo) { up <- d })
	}()
	ts.Defer(func() {
		cancel()
		if err := <-ended; err != nil {
			ts.Logf("the demo ended with %v", err)
		}
	})
	select {
	case d := <-up:
		ts.Setenv("CALLER", d.Callers()[0])
		ts.Setenv("KEY", d.Key())
		ts.Setenv("FAULTS", d.Faults())
		ts.Setenv(daemon.EnvName("admin"), d.Admin()[0])
		ts.Setenv(daemon.EnvName("admin-key"), d.AdminKey())
		ts.Setenv(daemon.EnvName("table"), d.Table())
		ts.Setenv(daemon.EnvName("objects"), d.Table())
	case err := <-ended:
		ended <- err
		ts.Fatalf("the demo did not start: %v", err)
	}
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"demo": startDemo},
	})
}
