package once

import (
	"encoding/json"
	"net/url"
	"strings"
	"time"
)

// State is how far a call is, by its row.
type State string

// The states of a row.
const (
	Started   State = "started"   // a token was licensed to send
	Finished  State = "finished"  // the answer is stored
	Abandoned State = "abandoned" // the licensed token never sent and never will
	Lost      State = "lost"      // it was sent and no answer came
)

// Response is a service's answer.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type"`
	Body        []byte `json:"body"`
	TooLarge    bool   `json:"too-large,omitempty"` // the body was longer than the ledger keeps
}

// Row is the ledger's record of one key.
type Row struct {
	Digest   string    `json:"digest"`
	Token    string    `json:"token"`
	Node     string    `json:"node"`
	Request  string    `json:"request"`
	State    State     `json:"state"`
	At       time.Time `json:"at"`
	Response *Response `json:"response,omitempty"`
	Note     string    `json:"note,omitempty"`
}

// Key names a call: a team, a service and the caller's idempotency key.
type Key struct {
	Team    string
	Service string
	Key     string
}

// prefix begins the keys of all the ledger's rows.
const prefix = "once/"

// row returns the table key; the parts are escaped, so that no two keys share a row.
func (k Key) row() string {
	return prefix + url.PathEscape(k.Team) + "/" + url.PathEscape(k.Service) + "/" + url.PathEscape(k.Key)
}

func parseKey(row string) (Key, bool) {
	parts := strings.Split(strings.TrimPrefix(row, prefix), "/")
	if len(parts) != 3 {
		return Key{}, false
	}
	var out [3]string
	for i, part := range parts {
		text, err := url.PathUnescape(part)
		if err != nil {
			return Key{}, false
		}
		out[i] = text
	}
	return Key{Team: out[0], Service: out[1], Key: out[2]}, true
}

func (r *Row) encode() []byte {
	out, err := json.Marshal(r)
	if err != nil {
		panic("once: a row that can't be encoded: " + err.Error())
	}
	return out
}

func decodeRow(raw []byte) (*Row, error) {
	var r Row
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, &Error{cause: Corrupt, detail: err.Error()}
	}
	return &r, nil
}
