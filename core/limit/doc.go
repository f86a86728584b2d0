// Package limit admits requests: a queue that is fair over teams before the upstreams' windows, with
// a refusal at once for a request that would wait longer than its patience.
package limit
