// Package finish is the routing policy that chooses the upstream with the earliest predicted completion.
package finish
