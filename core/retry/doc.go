// Package retry bounds repeats: a budget per team and target, and jittered backoff.
package retry
