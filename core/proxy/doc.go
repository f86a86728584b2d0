// Package proxy executes callers' requests: it makes attempts at upstreams, resumes broken streams, and ends each
// request with one complete answer or with a refusal that states whether it may have run.
package proxy
