package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"rhubarbspread/io/daemon"
	"rhubarbspread/io/logs"

	"github.com/go-logr/logr"
	"github.com/google/subcommands"
	"github.com/peterbourgon/ff/v3"
)

// Exit codes of every subcommand.
const (
	exitOK          = subcommands.ExitSuccess
	exitFailed      = subcommands.ExitFailure
	exitUsage       = subcommands.ExitUsageError
	exitUnreachable = subcommands.ExitStatus(3) // the platform or a node did not answer
	exitConflict    = subcommands.ExitStatus(4) // the version was changed by somebody else
	exitUncertain   = subcommands.ExitStatus(5) // a response was lost, and it is unknown whether the change was made
)

const exitHelp = `Exit codes:
  0  done
  1  failed; the message says why
  2  wrong arguments or settings
  3  the platform or a node could not be reached
  4  somebody else changed it first; look again
  5  an answer was lost, and whether the change was made is not known
`

// Main runs the program's command line and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// Run runs a subcommand with its arguments and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	// Log lines of libraries must not mix with a subcommand's output; the daemons send them to their own logs.
	logs.RedirectLogx(logr.Discard())
	flags := flag.NewFlagSet("rhubarbspread", flag.ContinueOnError)
	flags.SetOutput(stderr)
	commander := subcommands.NewCommander(flags, "rhubarbspread")
	commander.Output = stdout
	commander.Error = stderr
	explain := commander.Explain
	commander.Explain = func(w io.Writer) {
		explain(w)
		fmt.Fprint(w, exitHelp)
	}
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	out := &output{stdout: stdout, stderr: stderr}
	for _, group := range commands(out) {
		for _, c := range group.commands {
			commander.Register(c, group.name)
		}
	}
	if err := flags.Parse(args); err != nil {
		return int(exitUsage)
	}
	return int(commander.Execute(ctx))
}

// group is a set of subcommands that the help lists together.
type group struct {
	name     string
	commands []subcommands.Command
}

func commands(out *output) []group {
	return []group{
		{"daemons", []subcommands.Command{&nodeCommand{output: out}, &demoCommand{output: out}, loadCommand(out)}},
		{"documents", documentCommands(out)},
		{"operation", append(operateCommands(out), explainRouteCommand(out))},
		{"help", []subcommands.Command{&versionCommand{output: out}, &explainCommand{output: out}}},
	}
}

// output holds the streams that subcommands write to.
type output struct{ stdout, stderr io.Writer }

func (o *output) printf(format string, args ...any) { fmt.Fprintf(o.stdout, format, args...) }

// failf prints an error and returns its exit code.
func (o *output) failf(code subcommands.ExitStatus, format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(o.stderr, "rhubarbspread: "+format+"\n", args...)
	return code
}

// setFromEnvironment takes the flags that are missing in the arguments from environment variables.
func setFromEnvironment(f *flag.FlagSet) error {
	return ff.Parse(f, f.Args(), ff.WithEnvVarPrefix(daemon.EnvPrefix))
}

// noArguments returns an error if arguments follow the flags.
func noArguments(f *flag.FlagSet) error {
	if f.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", f.Arg(0))
	}
	return nil
}
