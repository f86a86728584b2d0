// Package cli holds the subcommands of the rhubarbspread program.
package cli
