// Package reply describes the outcomes of attempts and the refusals, with their run states, that are reported to callers.
package reply
