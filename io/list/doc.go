// Package list reaches the platform's lagging list of VMs over HTTP.
package list
