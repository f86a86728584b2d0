package entry

import (
	"net/http"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/place"
	"rhubarbspread/core/proxy"
	"rhubarbspread/core/rules"
	"rhubarbspread/core/store"
	"rhubarbspread/io/hop"
)

// Config holds the settings of a node.
type Config struct {
	Node             string
	DataCentre       string
	CallerAddress    string   // IP:port for callers
	ReadinessAddress string   // IP:port for the readiness checks of the load balancer
	RPCAddress       string   // IP:port for the RPCs of other nodes
	DatagramAddress  string   // IP:port for the datagrams of other nodes
	Seeds            []string // RPC addresses of a few nodes, some of which may no longer exist
	StoreAddress     string   // IP:port of the platform's store
	MetricsAddress   string   // IP:port of the metrics page, or "" for none

	MemoryMB int     // memory of the VM
	MaxFDs   int     // descriptors of the process; 0 if unknown
	Cores    float64 // of the VM, in whole ones at full speed; 0 if unknown
	LinkMbps float64 // bandwidth of the VM's link in Mbit/s; 0 if unknown

	HeartbeatInterval time.Duration // interval at which an upstream renews its entry
	DrainBound        time.Duration // longest time until a draining upstream gets no new requests
	ApplyBound        time.Duration // longest time until a new configuration is in force
	GracePeriod       time.Duration // from SIGTERM to SIGKILL
	RetryShare        float64       // retries per first attempt, of all nodes together
	RetryExtra        float64       // further retries in a window, of all nodes together
	RetryWindow       time.Duration
	RequiresTeams     bool // only callers of a team may use routes that are not public, whatever the configuration has
}

// capacity returns the VM's capacity for work for other nodes, as mesh.Node has it.
func (c *Config) capacity() float64 { return c.Cores * c.LinkMbps }

// HeaderCodec reads and writes the platform's headers of requests and answers.
type HeaderCodec interface {
	ReadCallerHeaders(h http.Header) proxy.CallerHeaders
	SetAttemptHeaders(h http.Header, s *proxy.Send)
	ReadAnswerInfo(id string, status int, h http.Header) proxy.AnswerInfo
}

// Engines sends orders to upstreams and fetches their reports.
type Engines interface {
	place.Engines
	proxy.Engines
}

// Platform holds the platform's implementations that a node uses.
type Platform struct {
	Headers        HeaderCodec
	Table          store.Table
	Feed           store.Feed
	NewEngines     func(*hop.Pool) Engines
	ReadSettings   func() (Config, error)                               // reads the settings file
	DecodeRules    func(raw []byte) (*rules.Rules, error)               // decodes a configuration
	DecodeUpstream func(id string, raw []byte) (*fleet.Upstream, error) // decodes an upstream's entry
	ReadyPath      string                                               // path of the readiness check
}
