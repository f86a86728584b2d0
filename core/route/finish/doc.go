// Package finish is the routing policy that takes the earliest predicted finish.
package finish
