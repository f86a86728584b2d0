package board

import (
	"fmt"
	"testing"
	"time"

	"rhubarbspread/core/fleet"
)

// halves returns upstreams of two data centres that hold one half of the layers each.
func halves() []*fleet.Upstream {
	return []*fleet.Upstream{upstream("x", "a", "big", 0, 40), upstream("y", "b", "big", 40, 80)}
}

// callerNeed is a need of a caller who is content with a pause.
func callerNeed(pause time.Duration) *Need {
	n := need()
	n.Pause = pause
	return n
}

func TestCrossing(t *testing.T) {
	const pause = 250 * time.Millisecond
	took := transfer(engine(), need().Prompt)
	for _, test := range []struct {
		name  string
		nodes int
		pause time.Duration
		play  func(b *Board, c *clock)
		path  bool
	}{
		{"the pipe is free", 1, pause, func(*Board, *clock) {}, true},
		{"prompts of others fill it", 1, pause, func(b *Board, _ *clock) {
			fillPipe(b, pause)
		}, false},
		{"prompts of others fill it, and the caller names no pause", 1, 0, func(b *Board, _ *clock) {
			fillPipe(b, pause)
		}, true},
		{"this node has used its part of it", 100, pause, func(b *Board, _ *clock) {
			useUp(b, pause)
		}, false},
		{"this node had used its part of it", 100, pause, func(b *Board, c *clock) {
			useUp(b, pause)
			c.sleep(time.Duration(float64(took) * 100 / pipeShare))
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newClock()
			b := newBoard(c, 1)
			b.SetNodes(test.nodes)
			b.Keep(fleet.NewList(1, halves()))
			test.play(b, c)
			if got := b.Path(halves(), callerNeed(test.pause)) != nil; got != test.path {
				t.Errorf("a path across is found: %v, wanted %v", got, test.path)
			}
		})
	}
}

// fillPipe has another node tell of prompts on the pipe that take the pause.
func fillPipe(b *Board, pause time.Duration) {
	k := pipeKey("a", "b")
	b.mu.Lock()
	b.state(k)
	b.mu.Unlock()
	tokens := float64(pause) / float64(transfer(engine(), 1))
	b.Hear(News{Node: "other", Claims: map[uint32]Claim{k.Tag(): {Running: 9, Reading: tokens * float64(engine().Layers)}}})
}

// useUp sends prompts across, each read at once, until there is no path.
func useUp(b *Board, pause time.Duration) {
	for range 1000 {
		tk := b.Path(halves(), callerNeed(pause))
		if tk == nil {
			return
		}
		tk.Reading()
		tk.Release()
	}
}

// TestPipeStaysWithinThePause plays eight nodes that are asked for four times what a pipe carries and hear of each
// other late: prompts queue on the pipe no longer than the events of other streams may wait, and half of the pipe is
// used.
func TestPipeStaysWithinThePause(t *testing.T) {
	const (
		nodes  = 8
		pause  = 250 * time.Millisecond
		tick   = 5 * time.Millisecond
		period = 150 * time.Millisecond
		length = 20 * time.Second
	)
	c := newClock()
	boards := make([]*Board, nodes)
	for i := range boards {
		boards[i] = newBoard(c, i)
		boards[i].SetNodes(nodes)
		boards[i].Keep(fleet.NewList(1, halves()))
	}
	took := transfer(engine(), need().Prompt)
	type sent struct {
		ticket *Ticket
		done   time.Time
	}
	var onPipe []sent
	var free, told, from = c.now(), c.now(), c.now()
	longest, carried, turn, asked := time.Duration(0), 0, 0, 0.0
	for ; c.now().Sub(from) < length; c.sleep(tick) {
		for len(onPipe) > 0 && !onPipe[0].done.After(c.now()) {
			onPipe[0].ticket.Reading()
			onPipe[0].ticket.Release()
			onPipe = onPipe[1:]
		}
		if c.now().Sub(told) >= period {
			told = c.now()
			tellAll(boards)
		}
		for asked += 4 * float64(tick) / float64(took); asked >= 1; asked-- {
			turn++
			tk := boards[turn%nodes].Path(halves(), callerNeed(pause))
			if tk == nil {
				continue
			}
			if free.Before(c.now()) {
				free = c.now()
			}
			free = free.Add(took)
			longest = max(longest, free.Sub(c.now()))
			onPipe = append(onPipe, sent{tk, free})
			carried++
		}
	}
	used := float64(carried) * took.Seconds() / length.Seconds()
	t.Logf("measure=pipe longest-queue=%v used=%.2f", longest, used)
	if longest > pause {
		t.Errorf("a prompt waited %v on the pipe, more than the pause of %v", longest, pause)
	}
	if used < 0.8*pipeShare {
		t.Errorf("%.2f of the pipe was used, wanted nearly %.2f", used, pipeShare)
	}
}

func tellAll(boards []*Board) {
	for i, to := range boards {
		for j, from := range boards {
			if i != j {
				to.Hear(News{Node: fmt.Sprint(j), Claims: from.Claims()})
			}
		}
	}
}
