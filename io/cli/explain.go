package cli

import (
	"context"
	"errors"
	"flag"
	"runtime"
	"strings"

	"rhubarbspread/core/kern"

	"github.com/google/subcommands"
)

// version is the release that is built from this source.
const version = "0.1.0"

// versionCommand prints the program's version.
type versionCommand struct{ *output }

// Name returns the subcommand's name.
func (*versionCommand) Name() string { return "version" }

// Synopsis returns one line of help.
func (*versionCommand) Synopsis() string { return "print the version" }

// Usage returns the help.
func (*versionCommand) Usage() string { return "version\n  Prints the version.\n" }

// SetFlags declares no flags.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the version.
func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	c.printf("rhubarbspread %s %s\n", version, runtime.Version())
	return exitOK
}

// explainCommand prints what a plug-in does.
type explainCommand struct{ *output }

// Name returns the subcommand's name.
func (*explainCommand) Name() string { return "explain" }

// Synopsis returns one line of help.
func (*explainCommand) Synopsis() string { return "say what a plug-in does" }

// Usage returns the help.
func (*explainCommand) Usage() string {
	return "explain [NAME]\n  Says what a plug-in does; without a name it lists them.\n"
}

// SetFlags declares no flags.
func (*explainCommand) SetFlags(*flag.FlagSet) {}

// Execute prints a plug-in's description or the list.
func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 1 {
		return c.failf(exitUsage, "%v", errors.New("explain takes one name"))
	}
	if f.NArg() == 0 {
		for _, p := range kern.Plugins() {
			c.printf("%-18s %-16s %s\n", p.Doc.Name, p.Doc.Kind, p.Doc.Title)
		}
		return exitOK
	}
	p, ok := kern.FindPlugin(f.Arg(0))
	if !ok {
		return c.failf(exitFailed, "no plug-in %q; explain without a name lists them", f.Arg(0))
	}
	c.printf("%s (%s, since %s)\n%s\n\n%s\n", p.Doc.Name, p.Doc.Kind, p.Doc.Since, p.Doc.Title, p.Doc.Text)
	if len(p.Doc.Settings) > 0 {
		c.printf("\nSettings: %s\n", strings.Join(p.Doc.Settings, ", "))
	}
	return exitOK
}
