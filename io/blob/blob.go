package blob

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"rhubarbspread/core/kern"
	"rhubarbspread/core/store"
	"rhubarbspread/io/dial"
)

// Doc describes the plug-in.
var Doc = kern.Doc{
	Name:     "http-objects",
	Kind:     kern.StoreKind,
	Title:    "Object store over HTTP",
	Text:     `Named objects, put and read whole.`,
	Settings: []string{"-objects IP:PORT"},
	Since:    "0.1",
}

func init() {
	kern.Register(kern.Plugin{Doc: Doc, New: func(address string) store.Objects { return New(address) }})
}

// Client implements store.Objects over HTTP.
type Client struct{ host *dial.Host }

// New returns a client of the object store at an IP:port.
func New(address string) *Client { return &Client{host: dial.NewHost("objects", address)} }

// Put stores an object.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	body := struct {
		Data []byte `json:"data"`
	}{data}
	status, err := c.host.JSON(ctx, false, http.MethodPut, "/v1/objects/"+url.PathEscape(name), body, nil)
	return storeError(status, err)
}

// Read returns an object.
func (c *Client) Read(ctx context.Context, name string) ([]byte, error) {
	var out struct {
		Data []byte `json:"data"`
	}
	status, err := c.host.JSON(ctx, false, http.MethodGet, "/v1/objects/"+url.PathEscape(name), nil, &out)
	return out.Data, storeError(status, err)
}

// storeError turns the result of a call into a *store.Error, or nil.
func storeError(status int, err error) error {
	var e *dial.Error
	switch {
	case err == nil:
		return nil
	case status == http.StatusNotFound:
		return store.NewError(store.Missing, "no such object")
	case errors.As(err, &e) && !e.Sent():
		return store.NewError(store.NotSent, e.Error())
	}
	return store.NewError(store.Uncertain, err.Error())
}
