// Package fleet holds the list of upstreams that the platform publishes.
package fleet
