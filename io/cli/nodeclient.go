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

// callTimeout limits one call of a node's operator API.
const callTimeout = 3 * time.Second

// nodeClient calls the operator API of the nodes; its fields are set by flags.
type nodeClient struct {
	admin string // IP:port of one or several nodes, separated by commas
	json  bool   // print JSON
}

func (c *nodeClient) setFlags(s *flag.FlagSet) {
	s.StringVar(&c.admin, "admin", "", "IP:port of a node for operators, or several with commas; the others are found through these")
	s.BoolVar(&c.json, "json", false, "print JSON")
}

// call calls the node at an address.
func (c *nodeClient) call(ctx context.Context, address, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := dial.NewHost("admin", address, dial.WithKey(os.Getenv(daemon.EnvName("admin-key"))))
	_, err := h.JSON(ctx, true, method, path, in, out)
	return err
}

// addresses returns the operator addresses given by -admin, and those of all nodes that these know and that are not
// dead.
func (c *nodeClient) addresses(ctx context.Context) ([]string, error) {
	if c.admin == "" {
		return nil, exitf(exitUsage, "-admin is needed (%s)", daemon.EnvName("admin"))
	}
	seeds := strings.Split(c.admin, ",")
	addresses := slices.Clone(seeds)
	for _, address := range seeds {
		var out struct {
			Nodes []daemon.NodeStatus `json:"nodes"`
		}
		if c.call(ctx, address, http.MethodGet, "/v1/nodes", nil, &out) != nil {
			continue
		}
		for _, n := range out.Nodes {
			if n.Admin != "" && n.State != "dead" {
				addresses = append(addresses, n.Admin)
			}
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses), nil
}

// callFirst calls the nodes one after the other until one answers.
func (c *nodeClient) callFirst(ctx context.Context, method, path string, in, out any) error {
	addresses, err := c.addresses(ctx)
	if err != nil {
		return err
	}
	var lastErr error
	for _, address := range addresses {
		if lastErr = c.call(ctx, address, method, path, in, out); lastErr == nil {
			return nil
		}
	}
	return exitf(exitUnreachable, "no node answered; the last one: %v", lastErr)
}
