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

// Config is the settings of a demo.
type Config struct {
	Listen  string // IP:port; node i takes the port plus i, and port 0 picks free ones
	Admin   string // IP:port; likewise
	Nodes   int
	Engines int
	Policy  string
}

// Bounds of the settings.
const (
	mostNodes   = 32
	mostEngines = 128
	readyTime   = 15 * time.Second
	readyPause  = 20 * time.Millisecond
)

// Validate returns every fault of the settings in one error, or nil.
func (c *Config) Validate() error {
	var faults []error
	for _, a := range []struct{ flag, value string }{{"listen", c.Listen}, {"admin", c.Admin}} {
		address, err := netip.ParseAddrPort(a.value)
		if err != nil || !address.Addr().IsLoopback() {
			faults = append(faults, fmt.Errorf("-%s (%s): %q is not IP:port on loopback", a.flag, daemon.EnvName(a.flag), a.value))
		}
	}
	if c.Nodes < 1 || c.Nodes > mostNodes {
		faults = append(faults, fmt.Errorf("-nodes (%s): %d is not 1 to %d", daemon.EnvName("nodes"), c.Nodes, mostNodes))
	}
	if c.Engines < 1 || c.Engines > mostEngines {
		faults = append(faults, fmt.Errorf("-engines (%s): %d is not 1 to %d", daemon.EnvName("engines"), c.Engines, mostEngines))
	}
	return errors.Join(faults...)
}

// Demo is a running demo.
type Demo struct {
	world  *world
	nodes  []*daemon.Node
	faults net.Listener
	key    string
	admin  string
}

// Callers returns the nodes' IP:port for callers.
func (d *Demo) Callers() []string { return d.addresses((*daemon.Node).CallersAddress) }

// Admin returns the nodes' IP:port for operators.
func (d *Demo) Admin() []string { return d.addresses((*daemon.Node).AdminAddress) }

// Faults returns the IP:port of the fault door.
func (d *Demo) Faults() string { return d.faults.Addr().String() }

// Key returns the team's bearer key.
func (d *Demo) Key() string { return d.key }

// AdminKey returns the operators' bearer key.
func (d *Demo) AdminKey() string { return d.admin }

// Table returns the IP:port of the stand-in of the table service and object store.
func (d *Demo) Table() string { return d.world.tableAddress }

func (d *Demo) addresses(of func(*daemon.Node) string) []string {
	out := make([]string, len(d.nodes))
	for i, n := range d.nodes {
		out[i] = of(n)
	}
	return out
}

func randomText() string {
	raw := make([]byte, 16)
	// It never fails, by its documentation.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Run starts a demo, calls ready once every node serves, and stops it when the context ends.
func Run(ctx context.Context, c Config, log logr.Logger, ready func(*Demo)) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	w, err := newWorld(inner, c.Engines)
	if err != nil {
		return err
	}
	defer w.close()
	d := &Demo{world: w, key: randomText(), admin: randomText()}
	if err := d.publish(ctx); err != nil {
		return err
	}
	if err := d.buildNodes(c, log); err != nil {
		return err
	}
	if d.faults, err = net.Listen("tcp", anyPort); err != nil {
		return err
	}
	door := &http.Server{Handler: w.faultDoor(), ReadHeaderTimeout: time.Second}
	ended := make(chan error, len(d.nodes)+1)
	go func() { ended <- door.Serve(d.faults) }()
	for _, n := range d.nodes {
		go func() { ended <- n.Run(ctx) }()
	}
	if err := d.awaitReady(ctx); err == nil {
		ready(d)
	} else if ctx.Err() == nil {
		return err
	}
	var fault error
	for range d.nodes {
		fault = errors.Join(fault, <-ended)
	}
	_ = door.Close()
	<-ended
	return fault
}

// publish puts the document into both environments.
func (d *Demo) publish(ctx context.Context) error {
	document, err := conf.Decode(document(d.key))
	if err != nil {
		return err
	}
	registry := conf.NewRegistry(table.New(d.world.tableAddress), blob.New(d.world.tableAddress))
	for _, environment := range []string{Trial, Environment} {
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
			Node: fmt.Sprintf("node-%d", i), DataCentre: place(i), Environment: Environment,
			Callers: shift(c.Listen, i), Peers: anyPort, Admin: shift(c.Admin, i),
			Table: d.world.tableAddress, Objects: d.world.tableAddress, List: d.world.listAddress,
			Policy: c.Policy, Secret: secret, AdminKey: d.admin,
		}, log)
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
		d.world.list.Add(store.VM{Name: n.Name(), Address: n.PeersAddress(), DataCentre: place(i), Kind: kern.EntryKind})
	}
	return nil
}

// shift adds to the port of an address, unless it asks for a free one.
func shift(address string, by int) string {
	a := netip.MustParseAddrPort(address)
	if a.Port() == 0 {
		return address
	}
	return netip.AddrPortFrom(a.Addr(), a.Port()+uint16(by)).String()
}

// awaitReady waits until every node has its document and has met the others.
func (d *Demo) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTime)
	for i, address := range d.Callers() {
		for !isReady(ctx, address) || d.nodes[i].Met() < len(d.nodes) {
			if time.Now().After(deadline) {
				return fmt.Errorf("demo: the node at %s did not become ready", address)
			}
			select {
			case <-time.After(readyPause):
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
