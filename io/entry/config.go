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

// Config is what a node needs to know to start.
type Config struct {
	Node       string
	DataCentre string
	Callers    string   // IP:port for callers
	Ready      string   // IP:port for the balancer
	Control    string   // IP:port for other nodes' questions
	Datagrams  string   // IP:port for other nodes' datagrams
	Seeds      []string // addresses for questions of a few nodes, which may be gone
	Store      string   // IP:port
	Metrics    string   // IP:port of the page of figures, or "" for none

	MemoryMB int

	Heartbeat   time.Duration // between an upstream's entries
	Drain       time.Duration // until a draining upstream gets nothing new
	Grace       time.Duration // from SIGTERM to SIGKILL
	RetryShare  float64       // repeats per first attempt, of all nodes together
	RetryExtra  float64       // repeats beyond these in a window, of all nodes together
	RetryWindow time.Duration
}

// Wire reads and writes headers.
type Wire interface {
	Facts(h http.Header) carry.CallerHeaders
	Stamp(h http.Header, s *carry.Send)
	Judge(id string, status int, h http.Header) carry.AnswerInfo
}

// Engines gives orders to upstreams and asks for their reports.
type Engines interface {
	place.Engines
	carry.Engines
}

// Platform is what the node needs of the platform.
type Platform struct {
	Wire      Wire
	Table     store.Table
	Feed      store.Feed
	Engines   func(*hop.Pool) Engines
	Settings  func() (Config, error) // reads them anew
	Rules     func(raw []byte) (*rules.Rules, error)
	Upstream  func(id string, raw []byte) (*fleet.Upstream, error)
	ReadyPath string
}
