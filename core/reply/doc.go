// Package reply holds what is known of an attempt and what a caller may truthfully be told of it.
package reply
