// Package serve implements the HTTP interfaces for callers and for operators.
package serve
