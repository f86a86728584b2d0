// Package once is the ledger that lets a non-idempotent call be sent at most once.
package once
