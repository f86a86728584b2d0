// Package rules holds one version of the configuration as the router uses it: routes by host and prefix,
// services, teams by key, and limits on callers.
package rules
