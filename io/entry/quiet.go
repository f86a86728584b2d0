package entry

import (
	"io"
	"log"
)

// quietLog drops what net/http says of single connections: the router logs what concerns a request.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
