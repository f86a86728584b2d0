package cli

import (
	"context"
	"flag"
	"strings"
	"time"

	"rhubarbspread/io/load"

	"github.com/google/subcommands"
)

func loadCommand(out *output) subcommands.Command {
	var c load.Config
	nodes, plot := "", ""
	asJSON := false
	return &funcCommand{
		out: out, name: "load", synopsis: "send load to a demo's nodes and check every answer",
		usage: "load -nodes IP:PORT,... -key KEY [flags]\n  Sends open-loop load to nodes on loopback, checks each answer by the stand-ins' token rule, and reports.",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&nodes, "nodes", "", "callers' IP:port of the nodes, with commas")
			f.StringVar(&c.Key, "key", "", "bearer key of a team")
			f.StringVar(&c.Model, "model", "assistant", "model to ask")
			f.StringVar(&c.Service, "service", "booking", "service to call")
			f.StringVar(&c.Faults, "faults", "", "IP:port of the demo's fault door, for the bound and the executions")
			f.Float64Var(&c.Rate, "rate", 10, "requests a second")
			f.DurationVar(&c.Duration, "duration", 10*time.Second, "length of the load")
			f.IntVar(&c.Tokens, "tokens", 32, "tokens of an answer")
			f.Float64Var(&c.StreamedShare, "streamed", 0.8, "share of completions that are streamed")
			f.Float64Var(&c.ServiceShare, "services", 0.1, "share of requests that call the service")
			f.Uint64Var(&c.Seed, "seed", 1, "seed of all random choices")
			f.StringVar(&plot, "plot", "", "file to draw the run to, .svg or .png")
			f.BoolVar(&asJSON, "json", false, "print JSON")
		},
		run: func(ctx context.Context, _ []string) error {
			c.Nodes = strings.Split(nodes, ",")
			if err := c.Validate(); err != nil {
				return exitf(exitUsage, "%v", err)
			}
			report, err := load.Run(ctx, c)
			if err != nil {
				return err
			}
			return out.printLoadReport(report, plot, asJSON)
		},
	}
}

func (o *output) printLoadReport(r *load.Report, plot string, asJSON bool) error {
	if plot != "" {
		if err := load.Plot(r, plot); err != nil {
			return err
		}
	}
	if asJSON {
		return o.printJSON(r)
	}
	o.printf("offered %d, answered %d, wrong or partial %d, refused not-run %d, refused may-have-run %d\n",
		r.Offered, r.Answered, r.Wrong, r.NotRun, r.MayHaveRun)
	o.printf("tokens/s %.1f of a bound of %.1f (%.3f), keys run more than once %d\n", r.TokensPerSec, r.Bound, r.ShareOfBound, r.RepeatedKeys)
	o.printf("first token ms p50 %.1f p95 %.1f p99 %.1f; between tokens ms p50 %.1f p95 %.1f p99 %.1f; longest stall ms %.1f\n",
		r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99,
		r.BetweenTokens.P50, r.BetweenTokens.P95, r.BetweenTokens.P99, r.LongestStall)
	for _, f := range r.Recoveries {
		o.printf("recovery after %s at %s: %.0f ms\n", f.Kind, f.Target, f.DurationMS)
	}
	if r.Wrong > 0 || r.RepeatedKeys > 0 {
		return exitf(exitFailed, "%d answers were wrong or partial, %d keys ran more than once", r.Wrong, r.RepeatedKeys)
	}
	return nil
}
