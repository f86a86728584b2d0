package demo

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"rhubarbspread/core/conf"
	"rhubarbspread/core/kern"
	"rhubarbspread/core/store"
	"rhubarbspread/io/blob"
	"rhubarbspread/io/daemon"
	"rhubarbspread/io/table"

	"github.com/go-logr/logr"
)

// Config holds the settings of a demo.
type Config struct {
	Listen  string // IP:port for callers; node i adds i to the port, and port 0 picks a free one for each
	Admin   string // IP:port for operators, with the same rule for the port
	Nodes   int
	Engines int    // engines that hold the whole model
	Policy  string // routing policy
}

// Bounds of the settings, and times of the wait until the demo is ready.
const (
	maxNodes          = 32
	maxEngines        = 128
	readyTimeout      = 15 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// Validate returns all invalid settings in one error, or nil.
func (c *Config) Validate() error {
	var errs []error
	for _, a := range []struct{ flag, value string }{{"listen", c.Listen}, {"admin", c.Admin}} {
		address, err := netip.ParseAddrPort(a.value)
		if err != nil || !address.Addr().IsLoopback() {
			errs = append(errs, fmt.Errorf("-%s (%s): %q is not IP:port on loopback", a.flag, daemon.EnvName(a.flag), a.value))
		}
	}
	if c.Nodes < 1 || c.Nodes > maxNodes {
		errs = append(errs, fmt.Errorf("-nodes (%s): %d is not 1 to %d", daemon.EnvName("nodes"), c.Nodes, maxNodes))
	}
	if c.Engines < 1 || c.Engines > maxEngines {
		errs = append(errs, fmt.Errorf("-engines (%s): %d is not 1 to %d", daemon.EnvName("engines"), c.Engines, maxEngines))
	}
	return errors.Join(errs...)
}

// Demo is a running demo.
type Demo struct {
	testbed       *testbed
	nodes         []*daemon.Node
	faultListener net.Listener
	key           string
	adminKey      string
}

// CallerAddresses returns the nodes' IP:port for callers.
func (d *Demo) CallerAddresses() []string { return d.addresses((*daemon.Node).CallersAddress) }

// AdminAddresses returns the nodes' IP:port for operators.
func (d *Demo) AdminAddresses() []string { return d.addresses((*daemon.Node).AdminAddress) }

// FaultsAddress returns the IP:port of the fault-injection API.
func (d *Demo) FaultsAddress() string { return d.faultListener.Addr().String() }

// Key returns the team's bearer key.
func (d *Demo) Key() string { return d.key }

// AdminKey returns the operators' bearer key.
func (d *Demo) AdminKey() string { return d.adminKey }

// TableAddress returns the IP:port of the fake that serves as table service and as object store.
func (d *Demo) TableAddress() string { return d.testbed.tableAddress }

func (d *Demo) addresses(addressOf func(*daemon.Node) string) []string {
	out := make([]string, len(d.nodes))
	for i, n := range d.nodes {
		out[i] = addressOf(n)
	}
	return out
}

func randomText() string {
	raw := make([]byte, 16)
	// crypto/rand.Read is documented never to return an error.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Run starts a demo, calls ready once every node is ready, and stops it when the context ends.
func Run(ctx context.Context, c Config, log logr.Logger, ready func(*Demo)) error {
	// The fakes have their own context: they serve until the nodes have drained, which begins when ctx ends.
	fakesCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	bed, err := newTestbed(fakesCtx, c.Engines)
	if err != nil {
		return err
	}
	defer bed.close()
	d := &Demo{testbed: bed, key: randomText(), adminKey: randomText()}
	if err := d.publishDocument(ctx); err != nil {
		return err
	}
	if err := d.buildNodes(c, log); err != nil {
		return err
	}
	if d.faultListener, err = net.Listen("tcp", anyPort); err != nil {
		return err
	}
	faultServer := &http.Server{Handler: bed.faultHandler(), ReadHeaderTimeout: time.Second}
	serverErrors := make(chan error, len(d.nodes)+1)
	go func() { serverErrors <- faultServer.Serve(d.faultListener) }()
	for _, n := range d.nodes {
		go func() { serverErrors <- n.Run(ctx) }()
	}
	if err := d.awaitReady(ctx); err == nil {
		ready(d)
	} else if ctx.Err() == nil {
		return err
	}
	var runErr error
	for range d.nodes {
		runErr = errors.Join(runErr, <-serverErrors)
	}
	_ = faultServer.Close()
	<-serverErrors
	return runErr
}

// publishDocument stores the document as the first version of both environments.
func (d *Demo) publishDocument(ctx context.Context) error {
	document, err := conf.Decode(document(d.key))
	if err != nil {
		return err
	}
	registry := conf.NewRegistry(table.New(d.testbed.tableAddress), blob.New(d.testbed.tableAddress))
	for _, environment := range []string{TrialEnvironment, ProductionEnvironment} {
		if _, err := registry.Put(ctx, environment, document, "demo", 0); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) buildNodes(c Config, log logr.Logger) error {
	secret := randomText()
	for i := range c.Nodes {
		n, err := daemon.New(daemon.Config{
			Node: fmt.Sprintf("node-%d", i), DataCentre: dataCentreOf(i), Environment: ProductionEnvironment,
			Callers: offsetPort(c.Listen, i), Peers: anyPort, Admin: offsetPort(c.Admin, i),
			Table: d.testbed.tableAddress, Objects: d.testbed.tableAddress, List: d.testbed.listAddress,
			Policy: c.Policy, Secret: secret, AdminKey: d.adminKey,
		}, log)
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
		d.testbed.list.Add(store.VM{Name: n.Name(), Address: n.PeersAddress(), DataCentre: dataCentreOf(i), Kind: kern.EntryVMKind})
	}
	return nil
}

// offsetPort adds an offset to the port of an address; port 0, which asks for a free port, stays 0.
func offsetPort(address string, offset int) string {
	a := netip.MustParseAddrPort(address)
	if a.Port() == 0 {
		return address
	}
	return netip.AddrPortFrom(a.Addr(), a.Port()+uint16(offset)).String()
}

// awaitReady waits until every node is ready and has found all the others, for at most readyTimeout.
func (d *Demo) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for i, address := range d.CallerAddresses() {
		for !isReady(ctx, address) || d.nodes[i].DiscoveredNodes() < len(d.nodes) {
			if time.Now().After(deadline) {
				return fmt.Errorf("demo: the node at %s did not become ready", address)
			}
			select {
			case <-time.After(readyPollInterval):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
