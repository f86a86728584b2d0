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

// Sizes of the demo's upstreams.
const (
	engineSlots  = 8
	baseRate     = 40.0 // tokens/s of a slot of the slowest engine; others are two and four times as fast
	layerSlots   = 8
	layerRate    = 1500.0 // layers/s of a slot of the slowest layer engine
	bookingCount = 3
	bookingTime  = 20 * time.Millisecond
	reportLag    = 2 * time.Second
	listLag      = 2 * time.Second
	anyPort      = "127.0.0.1:0"
)

var dataCentres = []string{"sapporo", "asahikawa", "hakodate"}

// layerRanges overlap, so that the model survives the loss of any one engine.
var layerRanges = []struct {
	first, last int
	speed       float64
}{
	{0, 6, 1}, {0, 8, 2}, {4, 12, 2}, {6, 12, 1}, {0, 12, 4},
}

// target is a stand-in that takes faults.
type target interface {
	Set(kind string) bool
	Faults() []string
}

// world is all that stands outside the nodes.
type world struct {
	table   *fake.Table
	list    *fake.List
	oracle  *fake.Oracle
	layers  []*fake.LayerEngine
	engines []*fake.Engine
	targets map[string]target
	doors   []*fake.Door
	ended   []<-chan error

	tableAddress, listAddress string

	mu      sync.Mutex
	history []ordered
}

func newWorld(ctx context.Context, engines int) (*world, error) {
	w := &world{
		table:   fake.NewTable(),
		list:    fake.NewList(listLag),
		oracle:  fake.NewOracle(),
		targets: make(map[string]target),
	}
	if err := w.openPlatform(); err != nil {
		return nil, err
	}
	for i := range engines {
		if err := w.addEngine(ctx, i); err != nil {
			return nil, err
		}
	}
	for i := range layerRanges {
		if err := w.addLayers(ctx, i); err != nil {
			return nil, err
		}
	}
	for i := range bookingCount {
		if err := w.addBooking(ctx, i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) openPlatform() error {
	table, err := fake.OpenPlain(anyPort, w.table.Handler())
	if err != nil {
		return err
	}
	list, err := fake.OpenPlain(anyPort, w.list.Handler())
	if err != nil {
		return err
	}
	w.tableAddress, w.listAddress = table.Address(), list.Address()
	w.doors = append(w.doors, table, list)
	w.targets["table"], w.targets["list"] = w.table, w.list
	return nil
}

// standIn is an upstream with the handler of its protocol.
type standIn interface {
	target
	Handler() http.Handler
	Open(address string) (*fake.Door, error)
}

func (w *world) open(ctx context.Context, s standIn, m store.VM) error {
	door, err := s.Open(anyPort)
	if err != nil {
		return err
	}
	w.doors = append(w.doors, door)
	w.ended = append(w.ended, door.Follow(ctx))
	m.Address = door.Address()
	w.list.Add(m)
	w.targets[m.Name] = s
	return nil
}

func place(i int) string { return dataCentres[i%len(dataCentres)] }

func (w *world) addEngine(ctx context.Context, i int) error {
	e := fake.NewEngine(fake.EngineConfig{
		Name: fmt.Sprintf("engine-%d", i), Model: Assistant, Slots: engineSlots,
		Rate: baseRate * float64(int(1)<<(i%3)), ReportLag: reportLag, Fencing: true,
	})
	w.engines = append(w.engines, e)
	return w.open(ctx, e, store.VM{Name: e.Name(), DataCentre: place(i), Kind: "engine", Serves: Assistant})
}

func (w *world) addLayers(ctx context.Context, i int) error {
	r := layerRanges[i]
	e := fake.NewLayerEngine(fake.EngineConfig{
		Name: fmt.Sprintf("layers-%d", i), Model: Drafter, Slots: layerSlots, Rate: layerRate * r.speed,
		ReportLag: reportLag, First: r.first, Last: r.last, Layers: SplitLayers,
	})
	w.layers = append(w.layers, e)
	return w.open(ctx, e, store.VM{
		Name: e.Name(), DataCentre: place(i), Kind: "layers", Serves: Drafter, FirstLayer: r.first, LastLayer: r.last,
	})
}

func (w *world) addBooking(ctx context.Context, i int) error {
	s := fake.NewService(fmt.Sprintf("booking-%d", i), bookingTime, w.oracle)
	return w.open(ctx, s, store.VM{Name: s.Name(), DataCentre: place(i), Kind: "plain", Serves: Booking})
}

func (w *world) close() {
	for _, d := range w.doors {
		d.Close()
	}
}

// capacity returns the tokens a second of all whole-model engines.
func (w *world) capacity() float64 {
	sum := 0.0
	for _, e := range w.engines {
		sum += e.Capacity()
	}
	return sum
}
