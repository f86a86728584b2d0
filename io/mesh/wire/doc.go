// Package wire holds the generated code of the datagrams and RPCs between nodes.
//
// It is generated from mesh.proto by
//
//	protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. mesh.proto
//
// with protoc-gen-go and protoc-gen-go-drpc, which are tools of this module.
package wire
