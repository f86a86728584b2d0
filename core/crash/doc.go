// Package crash detects requests, and parts of prompts, that crash the upstreams that run them, and quarantines them.
package crash
