package board

import (
	"fmt"
	"testing"
	"time"

	"rhubarbspread/core/fleet"
)

// twoDataCentres returns an upstream in each of two data centres, which hold one half of the layers each.
func twoDataCentres() []*fleet.Upstream {
	return []*fleet.Upstream{upstream("x", "a", "big", 0, 40), upstream("y", "b", "big", 40, 80)}
}

// needWithGap returns a need with an objective for the time between events.
func needWithGap(gap time.Duration) *Need {
	n := need()
	n.EventGap = gap
	return n
}

func TestPathAcrossLink(t *testing.T) {
	const gap = 250 * time.Millisecond
	transit := transferTime(engine(), need().PromptTokens)
	for _, test := range []struct {
		name  string
		nodes int
		gap   time.Duration
		setup func(b *Board, c *fakeClock)
		path  bool
	}{
		{"link idle", 1, gap, func(*Board, *fakeClock) {}, true},
		{"link full of prompts of other nodes", 1, gap, func(b *Board, _ *fakeClock) {
			fillLink(b, gap)
		}, false},
		{"link full of prompts of other nodes, no objective", 1, 0, func(b *Board, _ *fakeClock) {
			fillLink(b, gap)
		}, true},
		{"budget used up", 100, gap, func(b *Board, _ *fakeClock) {
			exhaustBudget(b, gap)
		}, false},
		{"budget refilled", 100, gap, func(b *Board, c *fakeClock) {
			exhaustBudget(b, gap)
			c.advance(time.Duration(float64(transit) * 100 / linkPromptShare))
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newClock()
			b := newBoard(c, 1)
			b.SetNodes(test.nodes)
			b.SetUpstreams(fleet.NewList(1, twoDataCentres()))
			test.setup(b, c)
			if got := b.ReservePath(twoDataCentres(), needWithGap(test.gap)) != nil; got != test.path {
				t.Errorf("a path across the link is found: %v, want %v", got, test.path)
			}
		})
	}
}

// fillLink applies gossip in which prompts of another node occupy the link for as long as the gap.
func fillLink(b *Board, gap time.Duration) {
	k := linkKey("a", "b")
	b.mu.Lock()
	b.state(k)
	b.mu.Unlock()
	tokens := float64(gap) / float64(transferTime(engine(), 1))
	b.ApplyGossip(Gossip{Node: "other", Claims: map[uint32]Claim{
		k.Hash(): {InFlight: 9, Prefill: tokens * float64(engine().Layers)},
	}})
}

// exhaustBudget sends prompts across the link, each prefilled at once, until there is no path.
func exhaustBudget(b *Board, gap time.Duration) {
	for range 1000 {
		r := b.ReservePath(twoDataCentres(), needWithGap(gap))
		if r == nil {
			return
		}
		r.PrefillDone()
		r.Release()
	}
}

// TestLinkQueueStaysWithinEventGap offers eight nodes four times the prompts that a link carries, with delayed gossip
// between the nodes. It checks that prompts queue on the link no longer than other streams may wait for an event, and
// that they use nearly their share of the link.
func TestLinkQueueStaysWithinEventGap(t *testing.T) {
	const (
		nodes  = 8
		maxGap = 250 * time.Millisecond
		tick   = 5 * time.Millisecond
		period = 150 * time.Millisecond
		length = 20 * time.Second
	)
	c := newClock()
	boards := make([]*Board, nodes)
	for i := range boards {
		boards[i] = newBoard(c, i)
		boards[i].SetNodes(nodes)
		boards[i].SetUpstreams(fleet.NewList(1, twoDataCentres()))
	}
	transit := transferTime(engine(), need().PromptTokens)
	type crossing struct {
		reservation *Reservation
		done        time.Time
	}
	var onLink []crossing
	var linkFreeAt, gossipedAt, start = c.now(), c.now(), c.now()
	longestQueue, admitted, requests, due := time.Duration(0), 0, 0, 0.0
	for ; c.now().Sub(start) < length; c.advance(tick) {
		for len(onLink) > 0 && !onLink[0].done.After(c.now()) {
			onLink[0].reservation.PrefillDone()
			onLink[0].reservation.Release()
			onLink = onLink[1:]
		}
		if c.now().Sub(gossipedAt) >= period {
			gossipedAt = c.now()
			exchangeClaims(boards)
		}
		for due += 4 * float64(tick) / float64(transit); due >= 1; due-- {
			requests++
			r := boards[requests%nodes].ReservePath(twoDataCentres(), needWithGap(maxGap))
			if r == nil {
				continue
			}
			if linkFreeAt.Before(c.now()) {
				linkFreeAt = c.now()
			}
			linkFreeAt = linkFreeAt.Add(transit)
			longestQueue = max(longestQueue, linkFreeAt.Sub(c.now()))
			onLink = append(onLink, crossing{r, linkFreeAt})
			admitted++
		}
	}
	used := float64(admitted) * transit.Seconds() / length.Seconds()
	t.Logf("measure=pipe longest-queue=%v used=%.2f", longestQueue, used)
	if longestQueue > maxGap {
		t.Errorf("a prompt was queued %v on the link, more than the gap of %v", longestQueue, maxGap)
	}
	if used < 0.8*linkPromptShare {
		t.Errorf("%.2f of the link was used, want nearly %.2f", used, linkPromptShare)
	}
}

func exchangeClaims(boards []*Board) {
	for i, to := range boards {
		for j, from := range boards {
			if i != j {
				to.ApplyGossip(Gossip{Node: fmt.Sprint(j), Claims: from.Claims()})
			}
		}
	}
}
