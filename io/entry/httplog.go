package entry

import (
	"io"
	"log"
)

// discardLog returns a logger that drops the messages of net/http about single connections: the node logs whatever
// concerns a request.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
