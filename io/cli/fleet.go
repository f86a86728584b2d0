package cli

import (
	"context"
	"flag"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"rhubarbspread/io/daemon"
	"rhubarbspread/io/dial"
)

// askTime bounds one call of a node.
const askTime = 3 * time.Second

// fleet is the nodes that an operator talks to.
type fleet struct {
	admin string
	json  bool
}

func (f *fleet) setFlags(s *flag.FlagSet) {
	s.StringVar(&f.admin, "admin", "", "IP:port of a node for operators, or several with commas; the others are found through these")
	s.BoolVar(&f.json, "json", false, "print JSON")
}

// ask calls one node.
func (f *fleet) ask(ctx context.Context, address, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	h := dial.NewHost("admin", address, dial.WithKey(os.Getenv(daemon.EnvName("admin-key"))))
	_, err := h.JSON(ctx, true, method, path, in, out)
	return err
}

// addresses returns the operators' addresses of all nodes that those given know, and those given.
func (f *fleet) addresses(ctx context.Context) ([]string, error) {
	if f.admin == "" {
		return nil, exitf(exitUsage, "-admin is needed (%s)", daemon.EnvName("admin"))
	}
	given := strings.Split(f.admin, ",")
	known := slices.Clone(given)
	for _, address := range given {
		var out struct {
			Nodes []daemon.NodeLine `json:"nodes"`
		}
		if f.ask(ctx, address, http.MethodGet, "/v1/nodes", nil, &out) != nil {
			continue
		}
		for _, n := range out.Nodes {
			if n.Admin != "" && n.State != "dead" {
				known = append(known, n.Admin)
			}
		}
	}
	slices.Sort(known)
	return slices.Compact(known), nil
}

// one asks the first node that answers.
func (f *fleet) one(ctx context.Context, method, path string, in, out any) error {
	addresses, err := f.addresses(ctx)
	if err != nil {
		return err
	}
	var last error
	for _, address := range addresses {
		if last = f.ask(ctx, address, method, path, in, out); last == nil {
			return nil
		}
	}
	return exitf(exitUnreachable, "no node answered; the last one: %v", last)
}
