package cli

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"rhubarbspread/core/crash"
	"rhubarbspread/core/event"
	"rhubarbspread/io/daemon"

	"github.com/google/subcommands"
)

func operateCommands(out *output) []subcommands.Command {
	var client nodeClient
	var p platformFlags
	var filter event.Filter
	var since, note string
	ran := false
	version := uint64(0)
	command := func(name, synopsis, usage string, flags func(*flag.FlagSet), run func(context.Context, []string) error) subcommands.Command {
		return &funcCommand{out: out, name: name, synopsis: synopsis, usage: usage, flags: flags, run: run}
	}
	return []subcommands.Command{
		command("status", "show each node's state", "status", client.setFlags,
			func(ctx context.Context, _ []string) error { return out.status(ctx, &client) }),
		command("nodes", "list the nodes as one sees them", "nodes", client.setFlags,
			func(ctx context.Context, _ []string) error { return out.nodes(ctx, &client) }),
		command("upstreams", "list the upstreams as one node sees them", "upstreams", client.setFlags,
			func(ctx context.Context, _ []string) error { return out.upstreams(ctx, &client) }),
		command("watch", "wait until a version is in force on every node", "watch -version N\n  Prints progress; exit code 3 names the nodes that can't be reached.",
			func(s *flag.FlagSet) {
				client.setFlags(s)
				s.Uint64Var(&version, "version", 0, "version to wait for")
			},
			func(ctx context.Context, _ []string) error { return out.watch(ctx, &client, version) }),
		command("drain", "give a VM no new work", "drain UPSTREAM\n  Every node stops giving it new work; what runs there ends by itself.", client.setFlags,
			func(ctx context.Context, args []string) error { return out.drain(ctx, &client, args, true) }),
		command("undrain", "give a drained VM work again", "undrain UPSTREAM", client.setFlags,
			func(ctx context.Context, args []string) error { return out.drain(ctx, &client, args, false) }),
		command("timeline", "merge the events of all nodes", timelineUsage,
			func(s *flag.FlagSet) {
				client.setFlags(s)
				s.StringVar(&filter.Request, "request", "", "only events of a request")
				s.StringVar(&filter.Team, "team", "", "only events of a team")
				s.StringVar(&filter.Upstream, "upstream", "", "only events at an upstream")
				s.StringVar(&filter.Node, "node", "", "only events of a node")
				s.StringVar(&filter.Kind, "kind", "", "only events of a kind")
				s.StringVar(&since, "since", "", "only events from a time on, RFC 3339")
			},
			func(ctx context.Context, args []string) error {
				if len(args) > 0 {
					return out.mergeLogs(args, filter, since)
				}
				return out.timeline(ctx, &client, filter, since)
			}),
		command("quarantine", "list quarantined requests, or clear one", "quarantine [clear FINGERPRINT]", client.setFlags,
			func(ctx context.Context, args []string) error { return out.quarantine(ctx, &client, args) }),
		command("unresolved", "list calls of which nobody can say whether they ran", "unresolved", p.setFlags,
			func(ctx context.Context, _ []string) error { return out.unresolved(ctx, &p) }),
		command("resolve", "record whether an unresolved call ran", "resolve [-ran] -note TEXT TEAM SERVICE KEY TOKEN\n  Without -ran the key may be used again, and the call then runs.",
			func(s *flag.FlagSet) {
				p.setFlags(s)
				s.BoolVar(&ran, "ran", false, "the call ran")
				s.StringVar(&note, "note", "", "how it was found out")
			},
			func(ctx context.Context, args []string) error { return out.resolve(ctx, &p, args, ran, note) }),
	}
}

// printTable prints a header and rows in aligned columns; addRows calls add for each row.
func (o *output) printTable(header string, addRows func(add func(cells ...any))) error {
	w := tabwriter.NewWriter(o.stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, header)
	addRows(func(cells ...any) {
		texts := make([]string, len(cells))
		for i, c := range cells {
			texts[i] = fmt.Sprint(c)
		}
		fmt.Fprintln(w, strings.Join(texts, "\t"))
	})
	return w.Flush()
}

// statuses returns the status of every node that answers, and the addresses that did not.
func (c *nodeClient) statuses(ctx context.Context) (statuses []daemon.Status, missing []string, err error) {
	addresses, err := c.addresses(ctx)
	if err != nil {
		return nil, nil, err
	}
	for _, address := range addresses {
		var s daemon.Status
		if c.call(ctx, address, http.MethodGet, "/v1/status", nil, &s) != nil {
			missing = append(missing, address)
			continue
		}
		statuses = append(statuses, s)
	}
	return statuses, missing, nil
}

func (o *output) status(ctx context.Context, client *nodeClient) error {
	statuses, missing, err := client.statuses(ctx)
	if err != nil {
		return err
	}
	if client.json {
		err = o.printJSON(statuses)
	} else {
		err = o.printTable("NODE\tDATA-CENTRE\tREADY\tVERSION\tIN-FLIGHT\tUNRECORDED\tNODES\tUPSTREAMS", func(add func(...any)) {
			for _, s := range statuses {
				add(s.Node, s.DataCentre, s.Ready, s.Version, s.InFlight, s.Unrecorded, s.Nodes, s.Upstreams)
			}
		})
	}
	if err == nil && len(missing) > 0 {
		return exitf(exitUnreachable, "no answer from %s; the above is what the others know", strings.Join(missing, ", "))
	}
	return err
}

func (o *output) nodes(ctx context.Context, client *nodeClient) error {
	var out struct {
		Nodes []daemon.NodeStatus `json:"nodes"`
	}
	if err := client.callFirst(ctx, http.MethodGet, "/v1/nodes", nil, &out); err != nil {
		return err
	}
	if client.json {
		return o.printJSON(out.Nodes)
	}
	return o.printTable("NODE\tDATA-CENTRE\tSTATE\tPEERS\tADMIN", func(add func(...any)) {
		for _, n := range out.Nodes {
			add(n.Name, n.DataCentre, n.State, n.Address, n.Admin)
		}
	})
}

func (o *output) upstreams(ctx context.Context, client *nodeClient) error {
	var out struct {
		Upstreams []daemon.UpstreamStatus `json:"upstreams"`
	}
	if err := client.callFirst(ctx, http.MethodGet, "/v1/upstreams", nil, &out); err != nil {
		return err
	}
	if client.json {
		return o.printJSON(out.Upstreams)
	}
	return o.printTable("UPSTREAM\tDATA-CENTRE\tSERVES\tLAYERS\tFIT\tDRAINING\tIN-FLIGHT\tWINDOW\tSLOTS\tTOKENS/S\tLINK-MS", func(add func(...any)) {
		for _, u := range out.Upstreams {
			add(u.Name, u.DataCentre, u.Serves, u.Layers, u.Available, u.Draining, u.InFlight, u.Window, u.Slots,
				fmt.Sprintf("%.0f", u.Rate), fmt.Sprintf("%.1f", u.RoundTripMS))
		}
	})
}

// watchTimeout is the time after which watch gives up waiting for a rollout.
const watchTimeout = 30 * time.Second

// watch polls the nodes until all have a version of the document in force, and prints the progress.
func (o *output) watch(ctx context.Context, client *nodeClient, version uint64) error {
	if version == 0 {
		return exitf(exitUsage, "-version is needed")
	}
	deadline := time.Now().Add(watchTimeout)
	for {
		statuses, missing, err := client.statuses(ctx)
		if err != nil {
			return err
		}
		behind := 0
		centres := make(map[string][2]int) // nodes with the version in force, and all nodes, by data centre
		for _, s := range statuses {
			c := centres[s.DataCentre]
			c[1]++
			if s.Version >= version {
				c[0]++
			} else {
				behind++
			}
			centres[s.DataCentre] = c
		}
		o.printf("version=%d in-force=%d of=%d by-data-centre=%v\n", version, len(statuses)-behind, len(statuses)+len(missing), centres)
		switch {
		case behind == 0 && len(missing) == 0 && len(statuses) > 0:
			return nil
		case time.Now().After(deadline):
			return exitf(exitUnreachable, "%d nodes are behind, no answer from: %s", behind, strings.Join(missing, ", "))
		}
		select {
		case <-time.After(500 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (o *output) drain(ctx context.Context, client *nodeClient, args []string, on bool) error {
	if err := checkArgumentCount(args, 1, "an upstream"); err != nil {
		return err
	}
	body := struct {
		Name  string `json:"name"`
		Drain bool   `json:"drain"`
	}{args[0], on}
	if err := client.callFirst(ctx, http.MethodPost, "/v1/drain", body, nil); err != nil {
		return err
	}
	o.printf("%s: drain=%v, told to all nodes\n", args[0], on)
	return nil
}

func (o *output) timeline(ctx context.Context, client *nodeClient, filter event.Filter, since string) error {
	addresses, err := client.addresses(ctx)
	if err != nil {
		return err
	}
	query := url.Values{
		"request": {filter.Request}, "team": {filter.Team}, "upstream": {filter.Upstream},
		"node": {filter.Node}, "kind": {filter.Kind}, "since": {since},
	}
	var rings [][]event.Event
	var missing []string
	for _, address := range addresses {
		var out struct {
			Events []event.Event `json:"events"`
		}
		if client.call(ctx, address, http.MethodGet, "/v1/timeline?"+query.Encode(), nil, &out) != nil {
			missing = append(missing, address)
			continue
		}
		rings = append(rings, out.Events)
	}
	events := event.Merge(rings...)
	if client.json {
		err = o.printJSON(events)
	} else {
		err = o.printTable("TIME\tNODE\tKIND\tREQUEST\tUPSTREAM\tNOTE", func(add func(...any)) {
			for _, e := range events {
				add(e.Stamp.Time().UTC().Format("15:04:05.000"), e.Node, e.Kind, e.Request, e.Upstream, e.Note)
			}
		})
	}
	if err == nil && len(missing) > 0 {
		return exitf(exitUnreachable, "no answer from %s", strings.Join(missing, ", "))
	}
	return err
}

func (o *output) quarantine(ctx context.Context, client *nodeClient, args []string) error {
	if len(args) == 2 && args[0] == "clear" {
		if err := client.callFirst(ctx, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(args[1]), nil, nil); err != nil {
			return err
		}
		o.printf("%s is cleared\n", args[1])
		return nil
	}
	if len(args) != 0 {
		return exitf(exitUsage, "wants nothing, or clear and a fingerprint")
	}
	var out struct {
		Quarantine []crash.Entry `json:"quarantine"`
	}
	if err := client.callFirst(ctx, http.MethodGet, "/v1/quarantine", nil, &out); err != nil {
		return err
	}
	if client.json {
		return o.printJSON(out.Quarantine)
	}
	return o.printTable("FINGERPRINT\tUPSTREAMS\tREMAINING", func(add func(...any)) {
		for _, e := range out.Quarantine {
			add(e.Fingerprint, strings.Join(e.Upstreams, ","), e.Remaining.Round(time.Second))
		}
	})
}
