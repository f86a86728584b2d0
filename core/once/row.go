package once

import (
	"encoding/json"
	"net/url"
	"strings"
	"time"
)

// State is the state of a call as its row records it.
type State string

// The states of a row.
const (
	Started    State = "started"   // a token is licensed to send the call
	Finished   State = "finished"  // the call ran
	Abandoned  State = "abandoned" // the call was not sent or was refused; another claim may replace the row
	AnswerLost State = "lost"      // the call was sent and no answer arrived
)

// Response is a service's answer.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type"`
	Body        []byte `json:"body"`
	TooLarge    bool   `json:"too-large,omitempty"` // the body exceeded the limit of what the ledger stores
}

// Row is the ledger's record of one key.
type Row struct {
	Digest   string    `json:"digest"`  // of the request body
	Token    string    `json:"token"`   // that licenses the one send
	Node     string    `json:"node"`    // that issued the token
	Request  string    `json:"request"` // id of the request that claimed the key
	State    State     `json:"state"`
	At       time.Time `json:"at"` // when the key was claimed
	Response *Response `json:"response,omitempty"`
	Note     string    `json:"note,omitempty"` // reason of the outcome, or an operator's note
}

// Key identifies a call by team, service and the caller's idempotency key.
type Key struct {
	Team    string
	Service string
	Key     string
}

// rowPrefix is the prefix of the table keys of all ledger rows.
const rowPrefix = "once/"

// rowKey returns the table key of the row; the parts are escaped, so that no two keys share a row.
func (k Key) rowKey() string {
	return rowPrefix + url.PathEscape(k.Team) + "/" + url.PathEscape(k.Service) + "/" + url.PathEscape(k.Key)
}

// parseKey returns the Key of a row's table key, and false if the table key is malformed.
func parseKey(tableKey string) (Key, bool) {
	parts := strings.Split(strings.TrimPrefix(tableKey, rowPrefix), "/")
	if len(parts) != 3 {
		return Key{}, false
	}
	var fields [3]string
	for i, part := range parts {
		text, err := url.PathUnescape(part)
		if err != nil {
			return Key{}, false
		}
		fields[i] = text
	}
	return Key{Team: fields[0], Service: fields[1], Key: fields[2]}, true
}

func (r *Row) encode() []byte {
	out, err := json.Marshal(r)
	if err != nil {
		panic("once: encode row: " + err.Error())
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
