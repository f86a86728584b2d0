// Package wire holds the messages and calls of the protocol between nodes. It is generated from peer.proto by
//
//	protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. peer.proto
//
// with protoc-gen-go and protoc-gen-go-drpc, which are tools of this module.
package wire
