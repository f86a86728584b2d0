// Package daemon puts a node together: control state, traffic, peers, platform, callers and operators.
package daemon
