// Package route defines upstreams and the interface of routing policies, which choose among them.
package route
