package cli

import (
	"context"
	"errors"
	"flag"
	"os"

	"rhubarbspread/core/admit"
	"rhubarbspread/io/daemon"
	"rhubarbspread/io/entry"
	"rhubarbspread/io/logs"
	plat "rhubarbspread/platform"

	"github.com/google/subcommands"
)

// nodeCommand runs the daemon of an entry VM.
type nodeCommand struct {
	*output
	config  daemon.Config
	verbose bool
	metrics int // port of the metrics page on the users' platform, 0 for none
	// admission says for which services admission control is in force on the users' platform.
	admission string
	// explainKeyFile holds the secret of those who may ask where requests would go; "" for nobody.
	explainKeyFile string
}

// Name returns the subcommand's name.
func (*nodeCommand) Name() string { return "node" }

// Synopsis returns one line of help.
func (*nodeCommand) Synopsis() string { return "run the daemon of an entry VM" }

// Usage returns the help.
func (*nodeCommand) Usage() string {
	return `node [flags]
  Runs the daemon until SIGTERM, then stops gracefully. Every flag can be given by an environment
  variable: -data-centre by RHUBARBSPREAD_DATA_CENTRE, and so on. Secrets come from the environment alone:
  RHUBARBSPREAD_SECRET, which all nodes share, and RHUBARBSPREAD_ADMIN_KEY.
`
}

// SetFlags declares the flags.
func (c *nodeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config.Node, "node", "", "name of the node, unlike any other's")
	f.StringVar(&c.config.DataCentre, "data-centre", "", "data centre of the VM")
	f.StringVar(&c.config.Environment, "environment", "production", "environment whose document is in force")
	f.StringVar(&c.config.Callers, "callers", "", "IP:port for callers")
	f.StringVar(&c.config.Peers, "peers", "", "IP:port for other nodes")
	f.StringVar(&c.config.Admin, "admin", "", "IP:port for operators")
	f.StringVar(&c.config.Table, "table", "", "IP:port of the platform's table service")
	f.StringVar(&c.config.Objects, "objects", "", "IP:port of the platform's object store")
	f.StringVar(&c.config.List, "list", "", "IP:port of the platform's list of VMs")
	f.StringVar(&c.config.Policy, "policy", "finish", "routing policy; see explain")
	f.IntVar(&c.metrics, "metrics-port", 0, "port of the page of figures on the users' platform, 0 for none")
	f.StringVar(&c.admission, "admission", string(admit.Auto),
		"admission control on the users' platform: auto (engines whose routes differ in priority or whose cards are uneven), on (all engines), off")
	f.StringVar(&c.explainKeyFile, "explain-key-file", "",
		"file with the secret for explain-route on the users' platform, served at the metrics port; \"\" for off")
	f.BoolVar(&c.verbose, "verbose", false, "log details")
}

// Execute runs the daemon.
func (c *nodeCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := errors.Join(setFromEnvironment(f), noArguments(f)); err != nil {
		return c.failf(exitUsage, "%v", err)
	}
	if path := os.Getenv(plat.SettingsVariable); path != "" {
		return c.runOnPlatform(ctx, path)
	}
	c.config.Secret = os.Getenv(daemon.EnvName("secret"))
	c.config.AdminKey = os.Getenv(daemon.EnvName("admin-key"))
	log := logs.New(c.stderr, c.verbose)
	logs.RedirectLogx(log)
	n, err := daemon.New(c.config, log)
	var invalid *daemon.ConfigError
	switch {
	case errors.As(err, &invalid):
		return c.failf(exitUsage, "%v", err)
	case err != nil:
		return c.failf(exitFailed, "%v", err)
	}
	if err := n.Run(ctx); err != nil {
		return c.failf(exitFailed, "%v", err)
	}
	return exitOK
}

// runOnPlatform runs the daemon with the settings file that the users' platform has written.
func (c *nodeCommand) runOnPlatform(ctx context.Context, path string) subcommands.ExitStatus {
	mode, err := admit.ParseMode(c.admission)
	if err != nil {
		return c.failf(exitUsage, "%v", err)
	}
	explainKey, err := readSecret(c.explainKeyFile)
	if err != nil {
		return c.failf(exitUsage, "%v", err)
	}
	if explainKey != "" && c.metrics == 0 {
		return c.failf(exitUsage, "-explain-key-file needs -metrics-port")
	}
	logWriter := logs.NewBounded(c.stdout)
	// The log writer outlives ctx, so that it writes the lines of the shutdown too.
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	written := logWriter.Run(logCtx)
	defer func() { stopLog(); <-written }()
	log := logs.New(logWriter, c.verbose)
	logs.RedirectLogx(log)
	err = plat.Run(ctx, path, c.metrics, log, entry.WithAdmission(mode), entry.WithExplainKey(explainKey))
	var invalid *plat.SettingsError
	switch {
	case errors.As(err, &invalid):
		return c.failf(exitUsage, "%v", err)
	case err != nil:
		return c.failf(exitFailed, "%v", err)
	}
	return exitOK
}
