package entry

import (
	"net/http"
	"time"

	"rhubarbspread/core/carry"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/place"
	"rhubarbspread/core/rules"
	"rhubarbspread/core/store"
	"rhubarbspread/io/hop"
)

// Config holds the settings of a node.
type Config struct {
	Node       string
	DataCentre string
	Callers    string   // IP:port for callers
	Ready      string   // IP:port for the readiness checks of the load balancer
	Control    string   // IP:port for the RPCs of other nodes
	Datagrams  string   // IP:port for the datagrams of other nodes
	Seeds      []string // RPC addresses of a few nodes, some of which may no longer exist
	Store      string   // IP:port of the platform's store
	Metrics    string   // IP:port of the metrics page, or "" for none

	MemoryMB int // memory of the VM

	Heartbeat   time.Duration // interval at which an upstream renews its entry
	Drain       time.Duration // longest time until a draining upstream gets no new requests
	Grace       time.Duration // from SIGTERM to SIGKILL
	RetryShare  float64       // retries per first attempt, of all nodes together
	RetryExtra  float64       // further retries in a window, of all nodes together
	RetryWindow time.Duration
}

// HeaderCodec reads and writes the platform's headers of requests and answers.
type HeaderCodec interface {
	Facts(h http.Header) carry.CallerHeaders
	Stamp(h http.Header, s *carry.Send)
	Judge(id string, status int, h http.Header) carry.AnswerInfo
}

// Engines sends orders to upstreams and fetches their reports.
type Engines interface {
	place.Engines
	carry.Engines
}

// Platform holds the platform's implementations that a node uses.
type Platform struct {
	Wire      HeaderCodec
	Table     store.Table
	Feed      store.Feed
	Engines   func(*hop.Pool) Engines
	Settings  func() (Config, error)                               // reads the settings file
	Rules     func(raw []byte) (*rules.Rules, error)               // decodes a configuration
	Upstream  func(id string, raw []byte) (*fleet.Upstream, error) // decodes an upstream's entry
	ReadyPath string                                               // path of the readiness check
}
