package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"rhubarbspread/core/store"
	"rhubarbspread/io/fake"
)

// Sizes and delays of the demo's fakes.
const (
	engineSlots     = 8
	baseRate        = 40.0 // tokens/s of one slot of the slowest engine; the others are two and four times as fast
	layerSlots      = 8
	layerRate       = 1500.0 // layers/s of one slot of the slowest layer engine
	bookingCount    = 3
	bookingDuration = 20 * time.Millisecond
	reportLag       = 2 * time.Second
	listLag         = 2 * time.Second
	anyPort         = "127.0.0.1:0"
)

var dataCentres = []string{"sapporo", "asahikawa", "hakodate"}

// layerRanges lists the layer engines. Their ranges overlap, so that every layer stays available when any one engine
// fails.
var layerRanges = []struct {
	first, end int     // end is exclusive
	speed      float64 // multiple of layerRate
}{
	{0, 6, 1}, {0, 8, 2}, {4, 12, 2}, {6, 12, 1}, {0, 12, 4},
}

// faultTarget is a fake into which faults can be injected.
type faultTarget interface {
	Set(kind string) bool
	Faults() []string
}

// testbed holds everything that the nodes talk to: the fakes of the platform, the engines and the services.
type testbed struct {
	table        *fake.Table
	list         *fake.List
	oracle       *fake.Oracle
	layers       []*fake.LayerEngine
	engines      []*fake.Engine
	targets      map[string]faultTarget
	servers      []*fake.Server
	serverErrors []<-chan error

	tableAddress, listAddress string

	mu      sync.Mutex
	history []injectedFault
}

func newTestbed(ctx context.Context, engines int) (*testbed, error) {
	b := &testbed{
		table:   fake.NewTable(),
		list:    fake.NewList(listLag),
		oracle:  fake.NewOracle(),
		targets: make(map[string]faultTarget),
	}
	if err := b.openPlatform(); err != nil {
		return nil, err
	}
	for i := range engines {
		if err := b.addEngine(ctx, i); err != nil {
			return nil, err
		}
	}
	for i := range layerRanges {
		if err := b.addLayers(ctx, i); err != nil {
			return nil, err
		}
	}
	for i := range bookingCount {
		if err := b.addBooking(ctx, i); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (b *testbed) openPlatform() error {
	table, err := fake.StartPlainServer(anyPort, b.table.Handler())
	if err != nil {
		return err
	}
	list, err := fake.StartPlainServer(anyPort, b.list.Handler())
	if err != nil {
		return err
	}
	b.tableAddress, b.listAddress = table.Address(), list.Address()
	b.servers = append(b.servers, table, list)
	b.targets["table"], b.targets["list"] = b.table, b.list
	return nil
}

// fakeUpstream is a fake engine or service that serves its protocol on a socket.
type fakeUpstream interface {
	faultTarget
	Handler() http.Handler
	Open(address string) (*fake.Server, error)
}

// addUpstream serves a fake upstream on loopback, puts its VM on the list and makes it a target of faults.
func (b *testbed) addUpstream(ctx context.Context, u fakeUpstream, vm store.VM) error {
	server, err := u.Open(anyPort)
	if err != nil {
		return err
	}
	b.servers = append(b.servers, server)
	b.serverErrors = append(b.serverErrors, server.FollowFaults(ctx))
	vm.Address = server.Address()
	b.list.Add(vm)
	b.targets[vm.Name] = u
	return nil
}

func dataCentreOf(i int) string { return dataCentres[i%len(dataCentres)] }

func (b *testbed) addEngine(ctx context.Context, i int) error {
	e := fake.NewEngine(fake.EngineConfig{
		Name: fmt.Sprintf("engine-%d", i), Model: Assistant, Slots: engineSlots,
		Rate: baseRate * float64(int(1)<<(i%3)), ReportLag: reportLag, ChecksFencing: true,
	})
	b.engines = append(b.engines, e)
	return b.addUpstream(ctx, e, store.VM{Name: e.Name(), DataCentre: dataCentreOf(i), Kind: "engine", Serves: Assistant})
}

func (b *testbed) addLayers(ctx context.Context, i int) error {
	r := layerRanges[i]
	e := fake.NewLayerEngine(fake.EngineConfig{
		Name: fmt.Sprintf("layers-%d", i), Model: Drafter, Slots: layerSlots, Rate: layerRate * r.speed,
		ReportLag: reportLag, FirstLayer: r.first, EndLayer: r.end, ModelLayers: SplitLayers,
	})
	b.layers = append(b.layers, e)
	return b.addUpstream(ctx, e, store.VM{
		Name: e.Name(), DataCentre: dataCentreOf(i), Kind: "layers", Serves: Drafter, FirstLayer: r.first, LastLayer: r.end,
	})
}

func (b *testbed) addBooking(ctx context.Context, i int) error {
	s := fake.NewService(fmt.Sprintf("booking-%d", i), bookingDuration, b.oracle)
	return b.addUpstream(ctx, s, store.VM{Name: s.Name(), DataCentre: dataCentreOf(i), Kind: "plain", Serves: Booking})
}

func (b *testbed) close() {
	for _, s := range b.servers {
		s.Close()
	}
}

// capacity returns the tokens a second that all whole-model engines can generate together.
func (b *testbed) capacity() float64 {
	sum := 0.0
	for _, e := range b.engines {
		sum += e.Capacity()
	}
	return sum
}
