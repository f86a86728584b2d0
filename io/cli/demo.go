package cli

import (
	"context"
	"errors"
	"flag"
	"strings"

	"rhubarbspread/io/demo"
	"rhubarbspread/io/logs"

	"github.com/google/subcommands"
)

// demoCommand runs the demo.
type demoCommand struct {
	*output
	config  demo.Config
	verbose bool
}

// Name returns the subcommand's name.
func (*demoCommand) Name() string { return "demo" }

// Synopsis returns one line of help.
func (*demoCommand) Synopsis() string { return "run nodes before stand-ins, all in one process" }

// Usage returns the help.
func (*demoCommand) Usage() string {
	return `demo [flags]
  Runs three data centres with nodes, engines, a split model and a booking service, until SIGTERM. Every
  flag can be given by an environment variable, -listen by RHUBARBSPREAD_LISTEN and so on.
`
}

// SetFlags declares the flags.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config.Listen, "listen", "127.0.0.1:8080", "IP:port for callers of the first node; node i takes the port plus i, and port 0 picks free ones")
	f.StringVar(&c.config.Admin, "admin", "127.0.0.1:9090", "IP:port for operators of the first node, likewise")
	f.IntVar(&c.config.Nodes, "nodes", 3, "number of nodes")
	f.IntVar(&c.config.Engines, "engines", 6, "number of engines that hold the whole model")
	f.StringVar(&c.config.Policy, "policy", "finish", "routing policy; see explain")
	f.BoolVar(&c.verbose, "verbose", false, "log details")
}

// Execute runs the demo.
func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := errors.Join(setFromEnvironment(f), noArguments(f)); err != nil {
		return c.failf(exitUsage, "%v", err)
	}
	if err := c.config.Validate(); err != nil {
		return c.failf(exitUsage, "%v", err)
	}
	log := logs.New(c.stderr, c.verbose)
	logs.RedirectLogx(log)
	err := demo.Run(ctx, c.config, log, c.announce)
	if err != nil {
		return c.failf(exitFailed, "%v", err)
	}
	return exitOK
}

// announce prints a ready line for programs and an example request for people.
func (c *demoCommand) announce(d *demo.Demo) {
	callers := d.CallerAddresses()
	c.printf("event=demo-ready callers=%s admin=%s faults=%s key=%s admin-key=%s table=%s models=%s,%s services=%s\n",
		strings.Join(callers, ","), strings.Join(d.AdminAddresses(), ","), d.FaultsAddress(), d.Key(), d.AdminKey(), d.TableAddress(),
		demo.Assistant, demo.Drafter, demo.Booking)
	c.printf("curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"prompt\":\"Where do I stand?\",\"max_tokens\":16,\"stream\":true}'\n",
		callers[0], d.Key(), demo.Assistant)
}
