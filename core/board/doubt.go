package board

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/pacer"
)

// Doubt is what the nodes together know of an upstream that refused requests. Nodes pass it on; of two doubts on one upstream
// the newer refusal and the newer answer hold.
type Doubt struct {
	RefusedAge  time.Duration // since the latest refusal
	AnsweredAge time.Duration // since the latest answer that came after an earlier refusal; negative for none
	Count       int           // refusals in a row, those of one moment counted once
	Sources     []uint32      // hashes of the names of nodes that were refused, maxDoubtSources at most
}

// Parameters of doubts. After a refusal all nodes leave an upstream alone for a time that doubles with each further one; then
// they try it one after the other, so that the tries do not grow with the number of nodes.
const (
	maxDoubtSources = 2
	minDoubtSources = 2                      // nodes that were refused; a single one may be wrong
	doubtTTL        = 8 * time.Second        // after its latest refusal
	baseHold        = 300 * time.Millisecond // that an upstream is left alone after its first refusal
	maxHold         = 3 * time.Second
	maxHoldDoubling = 4
	maxDoubts       = 32 // that are passed on, the latest ones
	// passOnTime is how long what is new of a doubt is passed on.
	passOnTime = 1500 * time.Millisecond
)

// doubtState is the doubt on one upstream in this node's time.
type doubtState struct {
	refusedAt  time.Time
	answeredAt time.Time
	count      int
	sources    []uint32
}

// noteRefusal records that an upstream refused this node's request, and logs and announces what the others may not know.
func (b *Board) noteRefusal(id string, s *upstreamState, now time.Time) {
	d := &s.doubt
	if !d.isOpen() {
		*d = doubtState{answeredAt: d.answeredAt}
	}
	before := *d
	if now.Sub(d.refusedAt) > b.learnTime() {
		d.count++
	}
	d.refusedAt = now
	d.addSource(b.nameHash)
	if d.count != before.count || len(d.sources) != len(before.sources) {
		b.logDoubt(id, s, now, "refusal")
		b.announceDoubt()
	}
}

// DoubtsChanged returns a channel that receives a value when the other nodes should learn of this node's doubts at once.
func (b *Board) DoubtsChanged() <-chan struct{} { return b.doubtsChanged }

func (b *Board) announceDoubt() {
	select {
	case b.doubtsChanged <- struct{}{}:
	default:
	}
}

// isOpen reports whether nothing has answered since the latest refusal.
func (d *doubtState) isOpen() bool { return d.refusedAt.After(d.answeredAt) }

func (d *doubtState) addSource(hash uint32) {
	if len(d.sources) < maxDoubtSources && !slices.Contains(d.sources, hash) {
		d.sources = append(slices.Clone(d.sources), hash)
	}
}

// learnTime returns how long it takes until most nodes know what one has learnt.
func (b *Board) learnTime() time.Duration { return 2 * b.viewAge }

// isDoubted reports whether an upstream is left alone because it refused requests of several nodes.
func (b *Board) isDoubted(s *upstreamState, now time.Time) bool {
	d := &s.doubt
	if !d.isOpen() || !d.isConfirmed() || now.Sub(d.refusedAt) > doubtTTL {
		return false
	}
	hold := min(baseHold<<min(max(0, d.count-1), maxHoldDoubling), maxHold)
	return now.Before(d.refusedAt.Add(hold + b.turn(s.hash, d.count)))
}

// isConfirmed reports whether several nodes were refused.
func (d *doubtState) isConfirmed() bool { return len(d.sources) >= minDoubtSources }

// turn returns after how long it is this node's turn to try an upstream. The nodes' turns are spread so that about one comes in
// the time in which all learn of the outcome.
func (b *Board) turn(upstream uint32, count int) time.Duration {
	share := float64(pacer.RendezvousWeight(b.nameHash, upstream+uint32(count))) / math.MaxUint64
	return time.Duration(share * float64(b.nodes-1) * float64(b.learnTime()))
}

// endDoubt ends the doubt on an upstream whose state in the store's list has changed since the refusals.
func (s *upstreamState) endDoubt() { s.doubt = doubtState{} }

// isNews reports whether other nodes may not know of the latest refusal or answer yet.
func (d *doubtState) isNews(now time.Time) bool {
	return !d.refusedAt.IsZero() && now.Sub(later(d.refusedAt, d.answeredAt)) <= passOnTime
}

// Doubts returns what this node has learnt of late of upstreams that refused requests, by the hashes of their keys.
func (b *Board) Doubts() map[uint32]Doubt {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var states []*upstreamState
	for _, s := range b.states {
		if s.doubt.isNews(now) {
			states = append(states, s)
		}
	}
	slices.SortFunc(states, func(s, t *upstreamState) int {
		return cmp.Or(t.doubt.refusedAt.Compare(s.doubt.refusedAt), cmp.Compare(s.hash, t.hash))
	})
	doubts := make(map[uint32]Doubt, len(states))
	for _, s := range states[:min(maxDoubts, len(states))] {
		d := &s.doubt
		answered := time.Duration(-1)
		if !d.answeredAt.IsZero() {
			answered = now.Sub(d.answeredAt)
		}
		doubts[s.hash] = Doubt{now.Sub(d.refusedAt), answered, d.count, d.sources}
	}
	return doubts
}

// ApplyDoubts applies what another node knows of upstreams that refused requests, by the hashes of their keys. Ages that are
// negative or beyond doubtTTL change nothing. It reports whether an upstream became more doubtful, which others may not know.
func (b *Board) ApplyDoubts(doubts map[uint32]Doubt) bool {
	if len(doubts) == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	isFreed, isNews := false, false
	for k, s := range b.states {
		d, ok := doubts[s.hash]
		if !ok || d.RefusedAge < 0 || d.RefusedAge > doubtTTL {
			continue
		}
		refusedAt := now.Add(-d.RefusedAge)
		if refusedAt.Before(s.changedAt) {
			continue
		}
		before := s.doubt
		s.doubt.merge(d, refusedAt, now)
		switch isOpen := s.doubt.isOpen(); {
		case isOpen && (!before.isOpen() || s.doubt.count > before.count || len(s.doubt.sources) > len(before.sources)):
			isNews = true
		case !isOpen && before.isOpen():
			isFreed = true
		default:
			continue
		}
		b.logDoubt(k.ID, s, now, "gossip")
	}
	if isFreed {
		b.wakeWaiters()
	}
	return isNews
}

// merge adds what another node knows.
func (d *doubtState) merge(o Doubt, refusedAt, now time.Time) {
	if o.AnsweredAge >= 0 {
		d.answeredAt = later(d.answeredAt, now.Add(-o.AnsweredAge))
	}
	if refusedAt.Before(d.answeredAt) {
		d.refusedAt = later(d.refusedAt, refusedAt)
		return
	}
	if !d.isOpen() {
		d.count, d.sources = 0, nil
	}
	d.refusedAt = later(d.refusedAt, refusedAt)
	d.count = max(d.count, o.Count)
	for _, source := range o.Sources {
		d.addSource(source)
	}
}

// noteAnswer records that an upstream answered this node, which ends a doubt for all nodes.
func (b *Board) noteAnswer(u *fleet.Upstream, s *upstreamState, now time.Time) {
	if s.doubt.refusedAt.IsZero() || now.Sub(s.doubt.refusedAt) > doubtTTL {
		return
	}
	wasOpen := s.doubt.isOpen()
	s.doubt.answeredAt = now
	if wasOpen {
		b.logDoubt(u.ID, s, now, "answer")
	}
}

// logDoubt logs that the nodes begin to leave an upstream alone, or no longer do.
func (b *Board) logDoubt(id string, s *upstreamState, now time.Time, source string) {
	d := &s.doubt
	b.log.Info("upstream-doubt", "upstream", id, "doubted", d.isOpen(), "source", source, "refusals", d.count,
		"nodes", len(d.sources), "refused-ms", now.Sub(d.refusedAt).Milliseconds())
}
