// Package route describes upstreams and what a routing policy knows when it chooses one.
package route
