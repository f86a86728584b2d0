// Package place decides which upstream holds which layers of a model and performs it by orders. Upstreams' own
// reports are the truth; a plan is only a wish.
package place
