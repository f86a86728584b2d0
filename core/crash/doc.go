// Package crash detects requests that crash the upstreams that run them, and quarantines such requests.
package crash
