package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/store"
)

// newsRow is a row that changes in the news of the tests.
var newsRow = store.FeedRow{Key: "u", Value: []byte("entry"), Version: 6}

// newNewsGroup returns nodes of which those that read the store for the others have news of the list's change at revision 6.
func newNewsGroup(t *testing.T, n int) *group {
	g := newReaderGroup(t, n)
	for _, m := range g.nodes {
		has := testThrough
		m.storeState = func() StoreState {
			s := StoreState{ListWord: Word{Through: has, Changed: store.Revision{Era: 1, Number: 6}, ConfirmedAt: time.Now()}}
			news, _, ok := m.ListNews(store.Revision{Era: 1, Number: 5})
			switch {
			case m.ReadsForOthers():
				s.ListNews = store.News{From: 4, Through: has, Rows: []store.FeedRow{newsRow}}
			case ok:
				s.ListNews = news
			default:
				s.ListWord = Word{}
			}
			return s
		}
	}
	g.exchange(6)
	return g
}

// TestNewsOfTheListReachAllNodes guards against nodes that read the store for each change of the list, although the readers'
// digests could tell them.
func TestNewsOfTheListReachAllNodes(t *testing.T) {
	for _, n := range readerCounts {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newNewsGroup(t, n)
				for _, m := range g.nodes {
					if !m.LeavesReading() {
						continue
					}
					news, word, ok := m.ListNews(store.Revision{Era: 1, Number: 5})
					if !ok || len(news.Rows) != 1 || string(news.Rows[0].Value) != "entry" || word.Through != testThrough {
						t.Fatalf("%s gets news %+v with the word %+v: %v", m.config.Node, news, word, ok)
					}
					for _, has := range []store.Revision{{Era: 1, Number: 3}, testThrough, {Era: 2, Number: 5}} {
						if news, _, ok := m.ListNews(has); ok {
							t.Errorf("%s, which has %+v, gets news from %d to %+v", m.config.Node, has, news.From, news.Through)
						}
					}
				}
			})
		})
	}
}

// TestNewsWithoutTheStoresWordAreNone guards against changes that nobody vouches for, or that end before those of which their
// sender knows.
func TestNewsWithoutTheStoresWordAreNone(t *testing.T) {
	for _, tc := range []struct {
		name string
		word Word
	}{
		{"no word", Word{}},
		{"a newer change is known", Word{Through: testThrough, Changed: store.Revision{Era: 1, Number: 9}, ConfirmedAt: time.Now()}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newReaderGroup(t, 24)
				if tc.word.Changed != (store.Revision{}) {
					tc.word.ConfirmedAt = time.Now()
				}
				for _, m := range g.nodes {
					m.storeState = func() StoreState {
						return StoreState{ListWord: tc.word, ListNews: store.News{From: 4, Through: testThrough, Rows: []store.FeedRow{newsRow}}}
					}
				}
				g.exchange(6)
				for _, m := range g.nodes {
					if _, _, ok := m.ListNews(store.Revision{Era: 1, Number: 5}); ok {
						t.Errorf("%s takes the news", m.config.Node)
					}
				}
			})
		})
	}
}
