package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// simple is a subcommand made of its parts: a line of help, flags and a function.
type simple struct {
	name     string
	synopsis string
	usage    string
	flags    func(*flag.FlagSet)
	run      func(ctx context.Context, args []string) error
	out      *output
}

// Name returns the subcommand's name.
func (s *simple) Name() string { return s.name }

// Synopsis returns one line of help.
func (s *simple) Synopsis() string { return s.synopsis }

// Usage returns the help.
func (s *simple) Usage() string { return s.usage + "\n" }

// SetFlags declares the flags.
func (s *simple) SetFlags(f *flag.FlagSet) { s.flags(f) }

// Execute runs the subcommand; an *exitError decides the exit code.
func (s *simple) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := settle(f); err != nil {
		return s.out.failf(exitUsage, "%v", err)
	}
	err := s.run(ctx, f.Args())
	var exit *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return s.out.failf(exit.code, "%s", exit.text)
	}
	return s.out.failf(exitFailed, "%v", err)
}

// exitError is a failure with its exit code.
type exitError struct {
	code subcommands.ExitStatus
	text string
}

// Error returns the text.
func (e *exitError) Error() string { return e.text }

func exitf(code subcommands.ExitStatus, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

// takes checks the number of arguments.
func takes(args []string, n int, what string) error {
	if len(args) != n {
		return exitf(exitUsage, "wants %s; got %d arguments", what, len(args))
	}
	return nil
}
