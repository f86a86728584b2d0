// Package random is a baseline routing policy that chooses an upstream uniformly at random.
package random
