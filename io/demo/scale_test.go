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

// TestCapacityFollowsTheDocument raises the replicas of a model to three while one of the three engines holds no model.
// The node that holds the lease must order that engine to load the model, and requests must reach it.
func TestCapacityFollowsTheDocument(t *testing.T) {
	d := start(t, Config{Nodes: 3, Engines: 3})
	empty := d.testbed.engines[2]
	if err := empty.Order(0, []string{}); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(document(d.Key())), `{"name": "assistant", "version": "1"}`, `{"name": "assistant", "version": "1", "replicas": 3}`, 1)
	changed, err := conf.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	registry := conf.NewRegistry(table.New(d.TableAddress()), blob.New(d.TableAddress()))
	if _, err := registry.Put(context.Background(), ProductionEnvironment, changed, "test", 1); err != nil {
		t.Fatal(err)
	}
	for !slices.Contains(empty.Load().Models, Assistant) {
		time.Sleep(10 * time.Millisecond)
	}
	for i := 0; empty.Arrivals() == 0; i++ {
		got, complete, err := d.stream(i%3, Assistant, "who answers?", 5, func(int) {})
		if err != nil || !complete || got != fake.Text("who answers?", 5) {
			t.Fatalf("complete %v, error %v", complete, err)
		}
	}
}
