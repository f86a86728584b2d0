// Package chain runs models whose layers are split over upstreams: it plans a chain of stages, takes each
// token through them in order, and rebuilds the chain when a stage is lost.
package chain
