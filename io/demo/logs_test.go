package demo

import (
	"context"
	"strings"
	"sync"
	"testing"

	"rhubarbspread/io/logs"
)

// syncBuffer is a log buffer for concurrent writers.
type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

// Write appends to the buffer.
func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// TestLogsHoldNoSecretsOrPrompts checks that verbose logs contain no bearer key, prompt, request body or idempotency
// key.
func TestLogsHoldNoSecretsOrPrompts(t *testing.T) {
	var text syncBuffer
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	ready := make(chan *Demo, 1)
	config := Config{Listen: anyPort, Admin: anyPort, Nodes: 1, Engines: 1, Policy: "finish"}
	go func() { result <- Run(ctx, config, logs.New(&text, true), func(d *Demo) { ready <- d }) }()
	d := <-ready
	for _, body := range []string{`{"model":"assistant","prompt":"a private matter","max_tokens":2}`, `{"model":"none","prompt":"a private matter"}`, `{"broken a private matter`} {
		resp, err := d.post(0, "/v1/completions", d.Key(), "", body)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	resp, err := d.post(0, "/v1/services/booking/offers", d.Key(), "a private key", `{"name":"a private matter"}`)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	key, admin := d.Key(), d.AdminKey()
	cancel()
	if err := <-result; err != nil {
		t.Error(err)
	}
	for _, secret := range []string{key, admin, "private"} {
		if strings.Contains(text.b.String(), secret) {
			t.Errorf("the log contains %q", secret)
		}
	}
}
