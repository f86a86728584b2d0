// Package list is the HTTP client of the platform's list of VMs, which lags behind their real state.
package list
