package load

import (
	"context"
	"net/http"
	"time"

	"rhubarbspread/io/dial"
)

// ask reads JSON from the demo's fault door.
func (r *run) ask(ctx context.Context, path string, out any) error {
	_, err := dial.NewHost("faults", r.config.Faults).JSON(ctx, true, http.MethodGet, path, nil, out)
	return err
}

// askOracle takes the bound and the executions.
func (r *run) askOracle(ctx context.Context) error {
	var o struct {
		Executions map[string]int `json:"executions"`
		Capacity   float64        `json:"tokens-per-second"`
	}
	if err := r.ask(ctx, "/oracle", &o); err != nil {
		return err
	}
	for _, n := range o.Executions {
		if n > 1 {
			r.report.DoubledOrders++
		}
	}
	r.report.Bound = o.Capacity
	if o.Capacity > 0 {
		r.report.Share = r.report.TokensPerSec / o.Capacity
	}
	return nil
}

// askFaults takes the faults that were ordered during the run, and finds the stalls after each.
func (r *run) askFaults(ctx context.Context) error {
	var o struct {
		History []struct {
			Kind   string `json:"kind"`
			Target string `json:"target"`
			AtMS   int64  `json:"at-ms"`
		} `json:"history"`
	}
	if err := r.ask(ctx, "/faults", &o); err != nil {
		return err
	}
	for _, f := range o.History {
		at := time.UnixMilli(f.AtMS)
		if at.Before(r.start) {
			continue
		}
		out := Recovery{Kind: f.Kind, Target: f.Target}
		for _, s := range r.stalls {
			if s.to.After(at) && s.from.Before(at.Add(stallWindow)) {
				out.Millis = max(out.Millis, float64(s.to.Sub(at))/float64(time.Millisecond))
			}
		}
		r.report.Recoveries = append(r.report.Recoveries, out)
	}
	return nil
}
