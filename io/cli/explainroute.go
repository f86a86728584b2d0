package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"rhubarbspread/io/daemon"
	"rhubarbspread/io/entry"

	"github.com/google/subcommands"
)

// shownUpstreams is how many upstreams that are left out the text names; -json has all.
const shownUpstreams = 20

// explainRoute holds the flags of explain-route.
type explainRoute struct {
	*output
	query      entry.RouteQuery
	parts      string
	deadline   time.Duration
	timeout    time.Duration
	nodes      string
	all        bool
	secretFile string
	keyFile    string
	bodyFile   string
	json       bool
}

func explainRouteCommand(out *output) subcommands.Command {
	c := &explainRoute{output: out}
	return &funcCommand{out: out, name: "explain-route", synopsis: "say where a request would go now, and why, without sending it",
		usage: "explain-route -nodes IP:PORT[,...] -host HOST -path PATH [flags]\n" +
			"  Asks nodes on the users' platform at their metrics addresses, with -all also the nodes that one of them knows to be live.\n  The caller's key comes from -caller-key-file or " +
			daemon.EnvName("caller-key") + ",\n  the operator's secret from -explain-key-file. Neither is printed.",
		flags: c.setFlags, run: func(ctx context.Context, args []string) error {
			if err := checkArgumentCount(args, 0, "no arguments"); err != nil {
				return err
			}
			return c.run(ctx)
		}}
}

func (c *explainRoute) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.nodes, "nodes", "", "IP:port of the metrics of a node, or several with commas")
	f.BoolVar(&c.all, "all", false, "ask also the other nodes that one of these knows to be live")
	f.StringVar(&c.query.Host, "host", "", "host of the request")
	f.StringVar(&c.query.Method, "method", http.MethodPost, "method of the request")
	f.StringVar(&c.query.Path, "path", "/", "path of the request")
	f.StringVar(&c.query.Model, "model", "", "service among those of the route; by default the one with the largest share")
	f.IntVar(&c.query.PromptTokens, "prompt-tokens", 0, "tokens of the prompt")
	f.IntVar(&c.query.MaxTokens, "max-tokens", 0, "most tokens of the output, 0 if unknown")
	f.IntVar(&c.query.ExpectedTokens, "expected-tokens", 0, "expected tokens of the output, 0 if unknown")
	f.StringVar(&c.parts, "prompt-parts", "", "IDs of the prompt's parts in order, with commas")
	f.DurationVar(&c.deadline, "deadline", 0, "time that the caller waits, 0 if unknown")
	f.DurationVar(&c.timeout, "timeout", explainTimeout, "time for the answer of a node")
	f.StringVar(&c.secretFile, "explain-key-file", "", "file with the secret of the nodes' -explain-key-file")
	f.StringVar(&c.keyFile, "caller-key-file", "", "file with the caller's key; otherwise from the environment")
	f.StringVar(&c.bodyFile, "body-file", "", "file with the body of the request, sent to the asked nodes alone, to find a quarantine of the request itself")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// run asks the nodes and prints their answers.
func (c *explainRoute) run(ctx context.Context) error {
	if c.nodes == "" || c.query.Host == "" || c.secretFile == "" {
		return exitf(exitUsage, "-nodes, -host and -explain-key-file are needed")
	}
	secret, err := readSecret(c.secretFile)
	key, keyErr := readSecret(c.keyFile)
	if c.query.Key = key; key == "" {
		c.query.Key = os.Getenv(daemon.EnvName("caller-key"))
	}
	c.query.DeadlineMS = c.deadline.Milliseconds()
	if c.parts != "" {
		c.query.PromptParts = strings.Split(c.parts, ",")
	}
	asker, askerErr := newRouteAsker(secret, &c.query, c.bodyFile, c.timeout)
	if err := errors.Join(err, keyErr, askerErr); err != nil {
		return exitf(exitUsage, "%v", err)
	}
	addresses := strings.Split(c.nodes, ",")
	var missing []string
	var live *entry.LiveNodes
	if c.all {
		if addresses, live, err = asker.addLiveNodes(ctx, addresses); err != nil {
			missing = append(missing, err.Error())
		}
	}
	explanations, unanswered := asker.askAll(ctx, addresses)
	missing = append(missing, unanswered...)
	err = nil
	if c.json {
		err = c.printJSON(withLiveNodes(explanations, live))
	} else {
		c.printLiveNodes(live)
		for _, x := range explanations {
			err = errors.Join(err, c.print(x))
		}
	}
	if err == nil && len(missing) > 0 {
		return exitf(exitUnreachable, "no explanation from %s", strings.Join(missing, ", "))
	}
	return err
}

// liveNodes says which node named the other live nodes, and how old its list was.
type liveNodes struct {
	Node   string `json:"node"`
	Others int    `json:"others"`
	AgeMS  *int64 `json:"age-ms"` // null if unknown
}

// listedExplanation is an explanation with the list of live nodes by which its node was asked.
type listedExplanation struct {
	*entry.RouteExplanation
	LiveNodes *liveNodes `json:"live-nodes,omitempty"`
}

// withLiveNodes adds what is known of the list of live nodes, if there is one, to explanations. It stands in each of them, as the output
// is an array of explanations with and without -all.
func withLiveNodes(explanations []*entry.RouteExplanation, list *entry.LiveNodes) []listedExplanation {
	var live *liveNodes
	if list != nil {
		live = &liveNodes{list.Node, len(list.Nodes), list.AgeMS}
	}
	listed := make([]listedExplanation, 0, len(explanations))
	for _, x := range explanations {
		listed = append(listed, listedExplanation{x, live})
	}
	return listed
}

// printLiveNodes prints who named the other live nodes for people, as a node that is missing from the list is not asked.
func (c *explainRoute) printLiveNodes(list *entry.LiveNodes) {
	if list == nil {
		return
	}
	age := "of unknown age"
	if list.AgeMS != nil {
		age = fmt.Sprintf("%d ms old", *list.AgeMS)
	}
	c.printf("live nodes named by %s: %d others, list of nodes %s\n", list.Node, len(list.Nodes), age)
}

// print prints an explanation for people.
func (c *explainRoute) print(x *entry.RouteExplanation) error {
	c.printf("%s (%s), configuration %d, list %d: %s\n", x.Node, x.DataCentre, x.RulesVersion, x.ListVersion, x.Decision)
	if x.Route != "" {
		c.printf("  route %s, services %s, team %q, priority %d\n", x.Route, strings.Join(x.Services, " "), x.Team, x.Priority)
	}
	if a := x.Admission; a != nil {
		c.printf("  class %s, level %.2f (counts %d ms old), ahead %d, raised %v, late %v\n", x.Class, a.Level, a.LevelAgeMS, a.Ahead, a.Raised, a.Late)
		c.printf("  limits: first event %d ms, pause %d ms, KV cache %.2f, links %.2f\n", a.FirstEventMS, a.EventGapMS, a.KVShare, a.LinkShare)
	}
	if r := x.Refusal; r != nil {
		c.printf("  refused after %d ms with %d: %s\n  Retry-After %d to %d ms, has-path %v, links-full %v\n", r.AfterMS, r.Status, r.Cause,
			r.RetryAfterMinMS, r.RetryAfterMaxMS, r.HasPath, r.LinksFull)
	}
	if x.Upstream != "" {
		c.printf("  sent to %s\n", x.Upstream)
	}
	if x.Path != nil {
		if err := c.printPath("path", x.Path); err != nil {
			return err
		}
	}
	for i := range x.Others {
		if err := c.printPath("other path", &x.Others[i]); err != nil {
			return err
		}
	}
	if len(x.LeftOutCount) > 0 {
		c.printf("  left out: %v\n", x.LeftOutCount)
	}
	for _, l := range x.LeftOut[:min(len(x.LeftOut), shownUpstreams)] {
		c.printf("    %s (%s): %s\n", l.Upstream, l.DataCentre, l.Reason)
	}
	if more := len(x.LeftOut) - shownUpstreams; more > 0 {
		c.printf("    and %d more, see -json\n", more)
	}
	return nil
}

// printPath prints a path for people.
func (c *explainRoute) printPath(name string, p *entry.PathExplained) error {
	c.printf("  %s: cost %.1f ms, first event %.1f ms (%.1f if stages overlap), pause %.1f ms, within limits %v, uses ejected %v\n",
		name, p.Cost, p.FirstEventMS, p.PipelinedMS, p.EventGapMS, p.WithinLimits, p.UsesEjected)
	return c.printTable("    STAGE\tDATA-CENTRE\tLAYERS\tCOST-MS\tFIRST-MS\tPAUSE-MS", func(add func(...any)) {
		for _, s := range p.Stages {
			add("    "+s.Upstream, s.DataCentre, fmt.Sprintf("%d-%d", s.From, s.To), fmt.Sprintf("%.1f", s.Cost),
				fmt.Sprintf("%.1f", s.FirstEventMS), fmt.Sprintf("%.1f", s.EventGapMS))
		}
	})
}
