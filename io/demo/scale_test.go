package demo

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"rhubarbspread/core/conf"
	"rhubarbspread/io/blob"
	"rhubarbspread/io/fake"
	"rhubarbspread/io/table"
)

// TestCapacityFollowsTheDocument asks for three replicas while one of three engines holds nothing: the
// holder of the lease has it loaded, and it takes requests.
func TestCapacityFollowsTheDocument(t *testing.T) {
	d := start(t, Config{Nodes: 3, Engines: 3})
	parked := d.world.engines[2]
	if err := parked.Order(0, []string{}); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(document(d.Key())), `{"name": "assistant", "version": "1"}`, `{"name": "assistant", "version": "1", "replicas": 3}`, 1)
	changed, err := conf.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	registry := conf.NewRegistry(table.New(d.Table()), blob.New(d.Table()))
	if _, err := registry.Put(context.Background(), Environment, changed, "test", 1); err != nil {
		t.Fatal(err)
	}
	for !slices.Contains(parked.Load().Models, Assistant) {
		time.Sleep(10 * time.Millisecond)
	}
	for i := 0; parked.Arrivals() == 0; i++ {
		got, whole, err := d.stream(i%3, Assistant, "who answers?", 5, func(int) {})
		if err != nil || !whole || got != fake.Text("who answers?", 5) {
			t.Fatalf("whole %v, error %v", whole, err)
		}
	}
}
