// Package trial tests several nodes with fake engines, on virtual time and with fixed seeds. Each test logs the
// figures that docs/MEASURES.md quotes.
package trial
