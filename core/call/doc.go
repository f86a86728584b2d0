// Package call sends callers' requests to plain services: idempotent ones with retries, others once under a license
// from the ledger.
package call
