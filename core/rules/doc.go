// Package rules holds one version of the configuration as the router uses it: routes by host and path prefix,
// services, teams by API key, and limits on callers.
package rules
