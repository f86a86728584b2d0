package ports

import (
	"errors"
	"os"

	"storj.io/drpc"
)

// Names of the limits that EndedBy returns.
const (
	LimitTime    = "time"    // a connection lasted for longer than its timeout
	LimitRequest = "request" // a request was too large, or none at all
)

// EndedBy returns the name of the limit by which the RPC library ended a connection with an error, or "" for none.
func EndedBy(err error) string {
	switch {
	case drpc.ProtocolError.Has(err):
		return LimitRequest
	case errors.Is(err, os.ErrDeadlineExceeded):
		return LimitTime
	}
	return ""
}
