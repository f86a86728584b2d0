// Package fleet holds the upstreams as the platform lists them.
package fleet
