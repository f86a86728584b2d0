// Package random is a baseline policy that takes any upstream.
package random
