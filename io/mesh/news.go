package mesh

import (
	"time"

	"rhubarbspread/core/store"
	"rhubarbspread/io/mesh/wire"
)

// MaxNewsBytes is the size of the changes of the list that a digest holds at most; nodes that lack more read the store.
const MaxNewsBytes = 3 << 10

// listNews returns what the digests of this node state of the list's changes: those of a relay or reader reach all nodes.
func (m *Mesh) listNews(n store.News) *wire.News {
	r := m.role.Load()
	if r == nil || !r.isRelay && !r.isReader || n.Through == (store.Revision{}) {
		return nil
	}
	w := &wire.News{Era: n.Through.Era, From: n.From, Through: n.Through.Number}
	for _, row := range n.Rows {
		w.Changes = append(w.Changes, &wire.Change{Id: row.Key, Value: row.Value, Removed: row.Removed, Version: row.Version})
	}
	return w
}

func decodeNews(w *wire.News) store.News {
	n := store.News{From: w.GetFrom(), Through: store.Revision{Era: w.GetEra(), Number: w.GetThrough()}}
	for _, c := range w.GetChanges() {
		n.Rows = append(n.Rows, store.FeedRow{Key: c.GetId(), Value: c.GetValue(), Removed: c.GetRemoved(), Version: c.GetVersion()})
	}
	return n
}

// ListNews returns the newest changes of the list in other nodes' digests that a node lacks which has all changes up to a revision,
// with the store's word on what it then has. It returns false if there are none that continue from there.
func (m *Mesh) ListNews(through store.Revision) (store.News, Word, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best *peerState
	for _, s := range m.peers {
		w := s.latest.GetListNews()
		news := store.News{From: w.GetFrom(), Through: store.Revision{Era: w.GetEra(), Number: w.GetThrough()}}
		isSound := !s.ListWord.ConfirmedAt.IsZero() && s.ListWord.Changed.Compare(news.Through) <= 0
		if !news.Continues(through) || !isSound || time.Since(s.LastSeen) > peerTTL {
			continue
		}
		if best == nil || w.GetThrough() > best.latest.GetListNews().GetThrough() {
			best = s
		}
	}
	if best == nil {
		return store.News{}, Word{}, false
	}
	news := decodeNews(best.latest.GetListNews())
	return news, Word{Through: news.Through, Changed: best.ListWord.Changed, ConfirmedAt: best.ListWord.ConfirmedAt}, true
}
