// Package reply describes the outcomes of attempts and the refusals that callers receive, with their run states.
package reply
