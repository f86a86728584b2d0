// Package call carries a caller's request to a plain service: repeats where they are harmless, and one
// licensed send where they are not.
package call
