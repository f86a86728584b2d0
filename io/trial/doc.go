// Package trial holds tests of several nodes before stand-ins, on virtual time and with fixed seeds. Each
// prints the figures that docs/MEASURES.md quotes.
package trial
