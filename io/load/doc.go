// Package load sends bounded open-loop load to nodes on loopback and checks every answer.
package load
