// Package tunnel passes connections to upstreams through another node. The server accepts CONNECT requests of other nodes,
// connects to an upstream by itself and copies bytes both ways; ends and resets of one side reach the other as what they
// are, so that an answer which was cut off never looks complete.
package tunnel
