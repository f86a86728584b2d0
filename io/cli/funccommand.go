package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// funcCommand is a subcommand that is built from its help texts, its flags and a function.
type funcCommand struct {
	name     string
	synopsis string
	usage    string
	flags    func(*flag.FlagSet)
	run      func(ctx context.Context, args []string) error
	out      *output
}

// Name returns the subcommand's name.
func (c *funcCommand) Name() string { return c.name }

// Synopsis returns one line of help.
func (c *funcCommand) Synopsis() string { return c.synopsis }

// Usage returns the help.
func (c *funcCommand) Usage() string { return c.usage + "\n" }

// SetFlags declares the flags.
func (c *funcCommand) SetFlags(f *flag.FlagSet) { c.flags(f) }

// Execute runs the subcommand; the code of an *exitError becomes the exit code, other errors exit with exitFailed.
func (c *funcCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := setFromEnvironment(f); err != nil {
		return c.out.failf(exitUsage, "%v", err)
	}
	err := c.run(ctx, f.Args())
	var exit *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return c.out.failf(exit.code, "%s", exit.text)
	}
	return c.out.failf(exitFailed, "%v", err)
}

// exitError is an error with the exit code for it.
type exitError struct {
	code subcommands.ExitStatus
	text string
}

// Error returns the message.
func (e *exitError) Error() string { return e.text }

// exitf returns an *exitError.
func exitf(code subcommands.ExitStatus, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

// checkArgumentCount returns a usage error unless there are n arguments.
func checkArgumentCount(args []string, n int, what string) error {
	if len(args) != n {
		return exitf(exitUsage, "wants %s; got %d arguments", what, len(args))
	}
	return nil
}
