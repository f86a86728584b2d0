// Package retry limits retries: budgets per team and target, a budget shared by all nodes, and jittered backoff.
package retry
