package load

import (
	"context"
	"net/http"
	"time"

	"rhubarbspread/io/dial"
)

// getJSON reads JSON from the demo's fault-injection API.
func (r *run) getJSON(ctx context.Context, path string, out any) error {
	_, err := dial.NewHost("faults", r.config.Faults).JSON(ctx, true, http.MethodGet, path, nil, out)
	return err
}

// readOracle adds the engines' capacity and the number of keys that were executed more than once to the report.
func (r *run) readOracle(ctx context.Context) error {
	var o struct {
		Executions map[string]int `json:"executions"`
		Capacity   float64        `json:"tokens-per-second"`
	}
	if err := r.getJSON(ctx, "/oracle", &o); err != nil {
		return err
	}
	for _, n := range o.Executions {
		if n > 1 {
			r.report.RepeatedKeys++
		}
	}
	r.report.Bound = o.Capacity
	if o.Capacity > 0 {
		r.report.ShareOfBound = r.report.TokensPerSec / o.Capacity
	}
	return nil
}

// readFaults adds the faults that were injected during the run to the report, each with its recovery time. A stall
// is attributed to a fault if it ended after the fault and began at most stallWindow after it.
func (r *run) readFaults(ctx context.Context) error {
	var o struct {
		History []struct {
			Kind   string `json:"kind"`
			Target string `json:"target"`
			AtMS   int64  `json:"at-ms"`
		} `json:"history"`
	}
	if err := r.getJSON(ctx, "/faults", &o); err != nil {
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
				out.DurationMS = max(out.DurationMS, float64(s.to.Sub(at))/float64(time.Millisecond))
			}
		}
		r.report.Recoveries = append(r.report.Recoveries, out)
	}
	return nil
}
