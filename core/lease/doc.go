// Package lease holds a lease with a fencing number over the platform's table.
package lease
