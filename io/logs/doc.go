// Package logs writes one key=value line an event, through logr, and takes over the libraries' own logs.
package logs
