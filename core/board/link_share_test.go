package board

import (
	"testing"
	"time"

	"rhubarbspread/core/fleet"
)

// crossings lets requests of several shares cross one link, each as often as it may, in the given order at each moment, for the time
// in which the node's whole budget carries a number of prompts. It returns how many of each crossed.
func crossings(shares []float64, nodes, prompts int) []int {
	const momentsPerPrompt = 20
	c := newClock()
	b := newBoard(c, 1)
	b.SetNodes(nodes)
	b.SetUpstreams(fleet.NewList(1, twoDataCentres()))
	transit := transferTime(engine(), need().PromptTokens).Seconds()
	step := time.Duration(transit * float64(nodes) / linkPromptShare / momentsPerPrompt * float64(time.Second))
	counts := make([]int, len(shares))
	for range prompts * momentsPerPrompt {
		for i, share := range shares {
			n := needWithGap(250 * time.Millisecond)
			n.LinkShare = share
			if r := b.ReservePath(twoDataCentres(), n); r != nil {
				counts[i]++
				r.PrefillDone()
				r.Release()
			}
		}
		c.advance(step)
	}
	return counts
}

// TestLinkSharesLeaveRoomForUrgentClasses guards against narrowed classes that use up a link budget before more urgent ones: also
// where a node's whole bucket holds less than one prompt, and among several narrowed classes. And a class is never closed.
func TestLinkSharesLeaveRoomForUrgentClasses(t *testing.T) {
	const prompts, tolerance = 200, 0.05 // of the whole budget
	for _, nodes := range []int{1, 61, 370} {
		whole := crossings([]float64{0}, nodes, prompts)[0]
		if got := crossings([]float64{1}, nodes, prompts)[0]; got != whole {
			t.Errorf("%d nodes: %d crossings with the whole budget as share, %d without shares", nodes, got, whole)
		}
		for _, share := range []float64{0.1, 0.3, 0.65} {
			got := float64(crossings([]float64{share}, nodes, prompts)[0]) / float64(whole)
			if step := float64(linkStep(share)+1) / linkSteps; got < step-tolerance || got > step+tolerance {
				t.Errorf("%d nodes: share %.2f alone makes %.2f of the crossings of the whole budget", nodes, share, got)
			}
		}
		for _, shares := range [][]float64{{0.3, 1}, {0.3, 0.6, 1}, {0.1, 0.3, 0.9, 1}} {
			used := 0.0
			for i, got := range crossings(shares, nodes, prompts) {
				isUrgent := i == len(shares)-1
				used += float64(got) / float64(whole)
				if got == 0 || !isUrgent && used > shares[i]+tolerance {
					t.Errorf("%d nodes, shares %v: %d crossings at share %.1f, %.2f of the whole with those below", nodes, shares, got, shares[i], used)
				}
				if least := 1 - shares[max(0, i-1)] - tolerance; isUrgent && float64(got)/float64(whole) < least {
					t.Errorf("%d nodes, shares %v: the most urgent makes %.2f of the crossings, want %.2f", nodes, shares, float64(got)/float64(whole), least)
				}
			}
		}
	}
}
