// Package relay carries one request to its whole answer: admission, attempts, resumption and refusal.
package relay
