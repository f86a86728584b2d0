// Package once implements the ledger: rows in the platform's table that license each non-idempotent call to be sent
// at most once.
package once
