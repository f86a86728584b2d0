package store

import (
	"cmp"
	"slices"
	"time"
)

// News holds all rows of a topic that changed between two revisions of one era, each in its latest version, in the order of
// their versions.
type News struct {
	From    uint64 // number of the revision after which the rows changed
	Through Revision
	Rows    []FeedRow
}

// Continues reports whether a node that has all changes up to a revision gets to a newer one by the news.
func (n *News) Continues(r Revision) bool {
	return n.Through.Era == r.Era && n.From <= r.Number && r.Number < n.Through.Number
}

// After returns the rows that changed after a revision.
func (n *News) After(r Revision) []FeedRow {
	first := slices.IndexFunc(n.Rows, func(row FeedRow) bool { return row.Version > r.Number })
	if first < 0 {
		return nil
	}
	return n.Rows[first:]
}

// Parameters of Recent.
const (
	recentTime = 2 * time.Second // for which a change is news
	recentRows = 256             // most rows that are kept
)

// Recent keeps the latest changes of a topic that a node has, for other nodes that lack them.
type Recent struct {
	from    uint64 // number of the revision after which rows changed
	through Revision
	rows    []recentRow // by version
}

// recentRow is a row and when the node got it.
type recentRow struct {
	FeedRow
	at time.Time
}

// Reset forgets all changes before a revision that the node has reached by a snapshot, unless it is an older one.
func (r *Recent) Reset(through Revision) {
	if through.Compare(r.through) > 0 {
		*r = Recent{from: through.Number, through: through}
	}
}

// Add adds the rows that changed after one revision up to another one.
func (r *Recent) Add(since, through Revision, rows []FeedRow, now time.Time) {
	if through.Compare(r.through) <= 0 {
		return
	}
	isOrdered := !slices.ContainsFunc(rows, func(row FeedRow) bool {
		return row.Version <= since.Number || row.Version > through.Number
	})
	if !isOrdered || since.Era != through.Era {
		r.Reset(through)
		return
	}
	if since.Era != r.through.Era || since.Number > r.through.Number {
		*r = Recent{from: since.Number}
	}
	r.through = through
	for _, row := range rows {
		r.put(recentRow{row, now})
	}
	slices.SortStableFunc(r.rows, func(a, b recentRow) int { return cmp.Compare(a.Version, b.Version) })
	if over := len(r.rows) - recentRows; over > 0 {
		r.drop(over)
	}
}

// put adds a row unless a newer version of it is known.
func (r *Recent) put(row recentRow) {
	i := slices.IndexFunc(r.rows, func(old recentRow) bool { return old.Key == row.Key })
	switch {
	case i < 0:
		r.rows = append(r.rows, row)
	case row.Version > r.rows[i].Version:
		r.rows[i] = row
	}
}

// drop forgets the oldest rows.
func (r *Recent) drop(count int) {
	if count > 0 {
		r.from = r.rows[count-1].Version
		r.rows = slices.Clone(r.rows[count:])
	}
}

// News returns the newest of the changes: those that are still news, and of these at most a number of bytes.
func (r *Recent) News(now time.Time, maxBytes int) News {
	stale := 0
	for stale < len(r.rows) && now.Sub(r.rows[stale].at) > recentTime {
		stale++
	}
	r.drop(stale)
	first, size := len(r.rows), 0
	for first > 0 {
		row := &r.rows[first-1]
		if size += len(row.Key) + len(row.Value); size > maxBytes {
			break
		}
		first--
	}
	n := News{From: r.from, Through: r.through}
	if first > 0 {
		n.From = r.rows[first-1].Version
	}
	for _, row := range r.rows[first:] {
		n.Rows = append(n.Rows, row.FeedRow)
	}
	return n
}
