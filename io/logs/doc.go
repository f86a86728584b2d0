// Package logs writes one line of key=value pairs for each event, through logr, and redirects the logs of libraries.
package logs
