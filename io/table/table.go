package table

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"rhubarbspread/core/kern"
	"rhubarbspread/core/store"
	"rhubarbspread/io/dial"
)

// Doc describes the plug-in.
var Doc = kern.Doc{
	Name:     "http-table",
	Kind:     kern.StoreKind,
	Title:    "Table service over HTTP",
	Text:     `Rows with versions and transactions on conditions, as JSON over HTTP.`,
	Settings: []string{"-table IP:PORT"},
	Since:    "0.1",
}

func init() {
	kern.Register(kern.Plugin{Doc: Doc, New: func(address string) store.Table { return New(address) }})
}

// Client implements store.Table over HTTP.
type Client struct{ host *dial.Host }

// New returns a client of the table service at an IP:port.
func New(address string) *Client { return &Client{host: dial.NewHost("table", address)} }

// row is the JSON form of a row, or of a change to one.
type row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Get returns the row of a key.
func (c *Client) Get(ctx context.Context, key string) (store.Row, error) {
	var r row
	_, err := c.host.JSON(ctx, false, http.MethodGet, "/v1/row?key="+url.QueryEscape(key), nil, &r)
	if err != nil {
		return store.Row{}, storeError(0, err)
	}
	return store.Row{Key: key, Value: r.Value, Version: r.Version}, nil
}

// Commit applies all changes atomically, or none.
func (c *Client) Commit(ctx context.Context, changes ...store.Change) error {
	body := struct {
		Changes []row `json:"changes"`
	}{make([]row, len(changes))}
	for i, change := range changes {
		body.Changes[i] = row{Key: change.Key, Value: change.Value, Version: change.Version}
	}
	status, err := c.host.JSON(ctx, false, http.MethodPost, "/v1/commit", body, nil)
	if err != nil {
		return storeError(status, err)
	}
	return nil
}

// Scan returns up to limit rows whose keys have a prefix and sort after a key, in key order.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var out struct {
		Rows []row `json:"rows"`
	}
	if _, err := c.host.JSON(ctx, false, http.MethodGet, "/v1/rows?"+query.Encode(), nil, &out); err != nil {
		return nil, storeError(0, err)
	}
	rows := make([]store.Row, len(out.Rows))
	for i, r := range out.Rows {
		rows[i] = store.Row{Key: r.Key, Value: r.Value, Version: r.Version}
	}
	return rows, nil
}

// storeError turns a failed call into a *store.Error. A call certainly wrote nothing only if the service answered
// with a conflict or the request was not sent; otherwise the outcome is uncertain.
func storeError(status int, err error) error {
	var e *dial.Error
	switch {
	case status == http.StatusConflict:
		return store.NewError(store.Conflict, "a condition did not hold")
	case errors.As(err, &e) && !e.Sent():
		return store.NewError(store.NotSent, e.Error())
	}
	return store.NewError(store.Uncertain, err.Error())
}
