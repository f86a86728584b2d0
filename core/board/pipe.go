package board

import (
	"slices"
	"time"

	"rhubarbspread/core/rules"
)

// Data centres are joined by pipes that carry one transfer after the other. A prompt that crosses one holds up the
// events of all streams that cross it, so that prompts may take only a part of a pipe.
const (
	pipeShare = 0.5 // of a pipe's capacity that prompts may take; the rest is for repairs, tokens and what is not heard of yet
	pipePause = 0.4 // of the longest pause between events that may be spent waiting for prompts on a pipe
	pipeBurst = 0.2 // seconds of its part of a pipe that a node may use at once
)

// toll is what a node knows of the pipe between two data centres.
type toll struct {
	left float64 // seconds of the pipe that this node may still use
	at   time.Time
}

// pipeKey names the pipe between two data centres, as the holder of claims.
func pipeKey(a, b string) Key {
	if a > b {
		a, b = b, a
	}
	return Key{ID: a + "|" + b}
}

// SetNodes tells how many nodes share the pipes.
func (b *Board) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, n)
}

// transfer returns how long a number of prompt tokens takes on a pipe, or 0 if pipes are not told of.
func transfer(e *rules.Engine, tokens float64) time.Duration {
	if e.Pipe <= 0 {
		return 0
	}
	return time.Duration(tokens * e.ActivationBytes * bitsPerByte / (e.Pipe * bitsPerMegabit) * float64(time.Second))
}

// pipeWait returns how long the prompts take that are on the pipe between two data centres.
func (b *Board) pipeWait(e *rules.Engine, from, to string) time.Duration {
	s := b.state(pipeKey(from, to))
	return transfer(e, (s.reading+s.others.Reading)/float64(max(1, e.Layers)))
}

// pipe is what a search knows of the way to a data centre.
type pipe struct {
	shut bool          // no prompt may cross now
	wait time.Duration // behind the prompts on it
}

// pipeTo returns the way from the data centre that ran the layers before, or "", looked at once a search.
func (b *Board) pipeTo(known map[[2]string]pipe, n *Need, from, to string) pipe {
	if !crosses(from, to) {
		return pipe{}
	}
	k := [2]string{from, to}
	p, ok := known[k]
	if !ok {
		p = pipe{shut: !b.mayCross(n, from, to), wait: b.pipeWait(n.Engine, from, to)}
		known[k] = p
	}
	return p
}

// crosses reports whether a step of a path leads to another data centre; the first comes from none.
func crosses(from, to string) bool { return from != "" && from != to }

// mayCross reports whether a prompt may cross the pipe between two data centres now.
func (b *Board) mayCross(n *Need, from, to string) bool {
	took := transfer(n.Engine, n.Prompt)
	if took == 0 || n.Pause <= 0 {
		return true
	}
	mine := b.tollOf(pipeKey(from, to))
	wait := b.pipeWait(n.Engine, from, to)
	return mine.left > 0 && (wait == 0 || float64(wait+took) <= pipePause*float64(n.Pause))
}

// tollOf returns a node's part of a pipe, brought up to now. What a large prompt took beyond is paid off first.
func (b *Board) tollOf(k Key) *toll {
	c, now := b.tolls[k], b.now()
	rate := pipeShare / float64(b.nodes)
	if c == nil {
		c = &toll{left: pipeBurst * rate, at: now}
		b.tolls[k] = c
	}
	c.left = min(pipeBurst*rate, c.left+rate*now.Sub(c.at).Seconds())
	c.at = now
	return c
}

// cross notes that the ticket's prompt crosses the pipes to those parts of a path that have to read it.
func (t *Ticket) cross(e *rules.Engine, hops, readers []Hop) {
	for i := 1; i < len(hops); i++ {
		from, to := hops[i-1].Upstream.DataCentre, hops[i].Upstream.DataCentre
		if from == to || !slices.Contains(readers, hops[i]) {
			continue
		}
		k := pipeKey(from, to)
		t.board.tollOf(k).left -= transfer(e, t.prompt).Seconds()
		t.pipes = append(t.pipes, k)
		s := t.board.state(k)
		s.running++
		s.reading += t.prompt * float64(t.layers)
	}
}

// endCrossing notes that the prompt has crossed.
func (t *Ticket) endCrossing() {
	for _, k := range t.pipes {
		s := t.board.state(k)
		s.running--
		s.reading = max(0, s.reading-t.prompt*float64(t.layers))
	}
	t.pipes = nil
}
