package once

import (
	"context"
	"time"

	"rhubarbspread/core/store"
)

// Unresolved is a call for which the ledger can't tell whether it ran.
type Unresolved struct {
	Key     Key       `json:"key"`
	State   State     `json:"state"`
	Node    string    `json:"node"`
	Token   string    `json:"token"`
	Request string    `json:"request"`
	At      time.Time `json:"at"`
	Note    string    `json:"note"`
}

// scanPage is the number of rows per table scan.
const scanPage = 500

// ListUnresolved returns the calls whose answer was lost and those that were started and have no recorded outcome.
func ListUnresolved(ctx context.Context, table store.Table) ([]Unresolved, error) {
	var out []Unresolved
	after := ""
	for {
		rows, err := table.Scan(ctx, rowPrefix, after, scanPage)
		if err != nil {
			return nil, err
		}
		for _, raw := range rows {
			after = raw.Key
			key, ok := parseKey(raw.Key)
			row, err := decodeRow(raw.Value)
			if !ok || err != nil {
				out = append(out, Unresolved{Key: Key{Key: raw.Key}, Note: "the row can't be read"})
				continue
			}
			if row.State == Started || row.State == AnswerLost {
				out = append(out, Unresolved{
					Key: key, State: row.State, Node: row.Node, Token: row.Token,
					Request: row.Request, At: row.At, Note: row.Note,
				})
			}
		}
		if len(rows) < scanPage {
			return out, nil
		}
	}
}

// Resolve records an operator's finding on an unresolved call: it ran, and r answers repeats, or it did not run,
// and the key may be used again.
func Resolve(ctx context.Context, table store.Table, k Key, token string, ran bool, r *Response, note string) error {
	raw, err := table.Get(ctx, k.rowKey())
	if err != nil {
		return err
	}
	if raw.Version == 0 {
		return &Error{cause: Corrupt, detail: "there is no such key"}
	}
	row, err := decodeRow(raw.Value)
	if err != nil {
		return err
	}
	if row.Token != token || (row.State != Started && row.State != AnswerLost) {
		return &Error{cause: Corrupt, detail: "the row has changed; list the unresolved calls again"}
	}
	row.State = Abandoned
	if ran {
		row.State = Finished
		row.Response = r
	}
	row.Note = note
	return table.Commit(ctx, store.Change{Key: k.rowKey(), Value: row.encode(), Version: raw.Version})
}
