// Package chain runs models whose layers are split over several upstreams. It plans a chain of stages, runs each token
// position through the stages in order, and rebuilds the chain when a stage is lost.
package chain
