// Package crash finds requests that crash the upstreams that run them, and quarantines these.
package crash
