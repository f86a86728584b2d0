// Package wire is the generated code of datagrams and questions between nodes on the platform.
//
// It is made from mesh.proto by
//
//	protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. mesh.proto
//
// with protoc-gen-go and protoc-gen-go-drpc, which are tools of this module.
package wire
