// Package member keeps what nodes know of each other: who is alive, and versioned facts that reach all.
package member
