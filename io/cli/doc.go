// Package cli holds the subcommands of the program.
package cli
