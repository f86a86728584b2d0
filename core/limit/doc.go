// Package limit is the admission control of a node: per-upstream windows of requests in flight, behind a queue that
// is fair between teams. A request whose predicted wait exceeds its patience is refused at once.
package limit
