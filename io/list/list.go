package list

import (
	"context"
	"net/http"

	"rhubarbspread/core/kern"
	"rhubarbspread/core/store"
	"rhubarbspread/io/dial"
)

// Doc describes the plug-in.
var Doc = kern.Doc{
	Name:     "http-list",
	Kind:     kern.StoreKind,
	Title:    "List of VMs over HTTP",
	Text:     `The platform's list of live and leaving VMs, which lags.`,
	Settings: []string{"-list IP:PORT"},
	Since:    "0.1",
}

func init() {
	kern.Register(kern.Plugin{Doc: Doc, New: func(address string) store.List { return New(address) }})
}

// Client implements store.List over HTTP.
type Client struct{ host *dial.Host }

// New returns a client of the list at an IP:port.
func New(address string) *Client { return &Client{host: dial.NewHost("list", address)} }

// VMs returns all listed VMs.
func (c *Client) VMs(ctx context.Context) ([]store.VM, error) {
	var out struct {
		VMs []struct {
			Name       string `json:"name"`
			Address    string `json:"address"`
			DataCentre string `json:"data-centre"`
			Kind       string `json:"kind"`
			Serves     string `json:"serves"`
			FirstLayer int    `json:"first-layer"`
			LastLayer  int    `json:"last-layer"`
			Leaving    bool   `json:"leaving"`
		} `json:"machines"`
	}
	if _, err := c.host.JSON(ctx, false, http.MethodGet, "/v1/machines", nil, &out); err != nil {
		return nil, store.NewError(store.Uncertain, err.Error())
	}
	vms := make([]store.VM, len(out.VMs))
	for i, v := range out.VMs {
		vms[i] = store.VM(v)
	}
	return vms, nil
}
