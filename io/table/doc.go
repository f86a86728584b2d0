// Package table reaches the platform's table service over HTTP.
package table
