package entry

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"time"

	"rhubarbspread/core/crash"
	"rhubarbspread/core/store"
)

// quarantinePrefix begins the keys of the rows of quarantined requests; the fingerprint follows.
const quarantinePrefix = "quarantine/"

// maxStoredMarks bounds the size of a row; a quarantine requires fewer marks.
const maxStoredMarks = 16

// quarantineRow is the row of a request in quarantine.
type quarantineRow struct {
	Marks []crash.Mark `json:"marks"`
}

// keepQuarantines writes a row for each request in quarantine that has none, so that nodes which all restart together
// still refuse it, and removes the rows of quarantines that have ended.
func (n *Node) keepQuarantines(ctx context.Context, v *View) {
	missing, ended := n.keeper.Changes(time.Now(), n.crashes.Evidence(), v.Quarantines)
	for f, marks := range missing {
		raw, err := json.Marshal(quarantineRow{marks[:min(len(marks), maxStoredMarks)]})
		if err != nil {
			n.log.Error(err, "quarantine-not-stored", "fingerprint", string(f))
			continue
		}
		n.changeQuarantineRow(ctx, f, raw)
	}
	for _, f := range ended {
		n.changeQuarantineRow(ctx, f, nil)
	}
}

// changeQuarantineRow writes a row, or removes it if the value is nil. A failure is retried in the next round.
func (n *Node) changeQuarantineRow(ctx context.Context, f crash.Fingerprint, value []byte) {
	if err := n.platform.Feed.Write(ctx, quarantinePrefix+string(f), value); err != nil {
		n.log.Info("quarantine-not-stored", "fingerprint", string(f), "removal", value == nil, "cause", err.Error())
		return
	}
	n.keeper.Changed(f, time.Now())
	n.log.Info("quarantine-stored", "fingerprint", string(f), "removal", value == nil)
}

// applyQuarantine applies the row of a quarantined request, and reports whether the row is one.
func (c *control) applyQuarantine(row store.FeedRow) bool {
	fingerprint, ok := strings.CutPrefix(row.Key, quarantinePrefix)
	if !ok {
		return false
	}
	f := crash.Fingerprint(fingerprint)
	c.quarantines = maps.Clone(c.quarantines)
	if row.Removed {
		delete(c.quarantines, f)
		return true
	}
	c.quarantines[f] = true
	var q quarantineRow
	if err := json.Unmarshal(row.Value, &q); err != nil {
		c.node.log.Info("quarantine-unreadable", "fingerprint", fingerprint, "cause", err.Error())
		return true
	}
	for _, m := range q.Marks {
		m.Fingerprint, m.Cleared, m.Quarantined = f, false, true
		c.node.crashes.ApplyStored(m)
	}
	return true
}
