package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// The requests of a partTraffic.
const (
	crashingPart = "c0" // begins the IDs of parts that crash upstreams
	poisonedBody = "poisoned-"
	firstPart    = "f1" // of all other prompts
	middleParts  = 6    // that sound and crashing requests share
	sharedParts  = 60   // of prompts of two parts
)

// partTraffic is the traffic of requests whose prompts share parts.
type partTraffic struct {
	fleet     *crasherFleet
	perSecond float64 // requests that crash upstreams
	crashing  int     // parts that crash upstreams
	isFirst   bool    // these parts are the first ones of their prompts
	isShort   bool    // the prompts have two parts: one of sharedParts or a crashing one, and one of their own
	sent      int
}

// tick sends the requests of one tick: a sound one, and crashing ones at their rate.
func (p *partTraffic) tick() {
	f := p.fleet
	p.sent++
	if p.isShort {
		p.tickShort()
		return
	}
	middle := fmt.Sprintf("ab%02d", f.random.IntN(middleParts))
	f.askWithParts(f.random.IntN(len(f.nodes)), fmt.Sprint("sound-", p.sent), []string{firstPart, middle, "aa"})
	if p.crashing == 0 || f.random.Float64() >= p.perSecond*tickLength.Seconds() {
		return
	}
	part := fmt.Sprint(crashingPart, f.random.IntN(p.crashing))
	parts := []string{firstPart, middle, part, "bb"}
	if p.isFirst {
		parts = []string{part, middle, "bb"}
	}
	f.askWithParts(f.random.IntN(len(f.nodes)), fmt.Sprint(poisonedBody, p.sent), parts)
}

// tickShort is tick for prompts of two parts.
func (p *partTraffic) tickShort() {
	f := p.fleet
	shared := fmt.Sprintf("ab%02d", f.random.IntN(sharedParts))
	f.askWithParts(f.random.IntN(len(f.nodes)), fmt.Sprint("sound-", p.sent), []string{shared, fmt.Sprint("own-", p.sent)})
	if p.crashing > 0 && f.random.Float64() < p.perSecond*tickLength.Seconds() {
		part := fmt.Sprint(crashingPart, f.random.IntN(p.crashing))
		f.askWithParts(f.random.IntN(len(f.nodes)), fmt.Sprint(poisonedBody, p.sent), []string{part, fmt.Sprint("own-", p.sent)})
	}
}

// partCase is a traffic with disturbances beside it.
type partCase struct {
	name      string
	nodes     int
	perSecond float64
	crashing  int
	isFirst   bool
	disturb   func(f *crasherFleet, elapsed time.Duration) // called before each tick
}

// playPartCase plays a case at one seed and applies the checks.
func playPartCase(t *testing.T, tc partCase, seed uint64, checks ...func(*crasherFleet)) {
	t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			f := newCrasherFleet(t, tc.nodes, seed)
			traffic := &partTraffic{fleet: f, perSecond: tc.perSecond, crashing: tc.crashing, isFirst: tc.isFirst}
			f.run(30*time.Second, func(elapsed time.Duration) {
				if tc.disturb != nil {
					tc.disturb(f, elapsed)
				}
				traffic.tick()
			})
			for _, check := range checks {
				check(f)
			}
		})
	})
}

// TestRequestsWithCrashingPartAreRefused guards against requests that are sent on though upstreams died of a part that
// they share with others.
func TestRequestsWithCrashingPartAreRefused(t *testing.T) {
	tests := []partCase{
		{"a fifth of the traffic", crasherNodes, 13, 1, false, nil},
		{"one request a second", crasherNodes, 1, 1, false, nil},
		{"few nodes", 5, 4, 1, false, nil},
		{"two parts", crasherNodes, 6, 2, false, nil},
		{"the first part of its prompts", crasherNodes, 4, 1, true, nil},
	}
	for _, tc := range tests {
		for seed := range uint64(2) {
			playPartCase(t, tc, seed, (*crasherFleet).checkSends)
		}
	}
}

// flap stops a third of the upstreams again and again.
func flap(f *crasherFleet, elapsed time.Duration) {
	const interval = 1500 * time.Millisecond
	if elapsed%interval == 0 {
		for _, u := range f.upstreams[:len(f.upstreams)/3] {
			f.stop(u, interval/2)
		}
	}
}

// loseRack stops a quarter of the upstreams, those of one data centre, for some seconds.
func loseRack(f *crasherFleet, elapsed time.Duration) {
	if elapsed != 3*time.Second {
		return
	}
	for _, u := range f.upstreams {
		if u.DataCentre == "a" {
			f.stop(u, upstreamDownTime)
		}
	}
}

// restartHalf restarts half of the nodes some seconds after the first crashes.
func restartHalf(f *crasherFleet, elapsed time.Duration) {
	if elapsed == 15*time.Second {
		for i := range len(f.nodes) / 2 {
			f.restart(i)
		}
	}
}

// cutFrom returns a disturbance that cuts off a data centre for some seconds.
func cutFrom(start time.Duration) func(f *crasherFleet, elapsed time.Duration) {
	return func(f *crasherFleet, elapsed time.Duration) {
		switch elapsed {
		case start:
			f.cut("b", true)
		case start + 6*time.Second:
			f.cut("b", false)
		}
	}
}

// TestCrashingPartIsRefusedAcrossACut guards against nodes that don't learn of a quarantine that began while they were cut
// off, and against clearances that don't reach them.
func TestCrashingPartIsRefusedAcrossACut(t *testing.T) {
	for _, tc := range []partCase{
		{"before the crashes", crasherNodes, 0.5, 1, false, cutFrom(0)},
		{"during the crashes", crasherNodes, 2, 1, false, cutFrom(1500 * time.Millisecond)},
		{"after the crashes", crasherNodes, 2, 1, false, cutFrom(9 * time.Second)},
		{"few nodes", 6, 2, 1, false, cutFrom(1500 * time.Millisecond)},
	} {
		for seed := range uint64(2) {
			playPartCase(t, tc, seed, (*crasherFleet).checkSends, (*crasherFleet).checkSound, (*crasherFleet).checkParts)
		}
	}
}

// TestCrashingPartIsFoundAmongOtherDisturbances guards against a verdict on a part that other deaths or restarts of nodes
// prevent, against sound requests that are refused for a part that they share with crashing ones, and against innocent
// parts and requests in quarantine.
func TestCrashingPartIsFoundAmongOtherDisturbances(t *testing.T) {
	tests := []partCase{
		{"nothing else", crasherNodes, 4, 1, false, nil},
		{"flapping upstreams", crasherNodes, 4, 1, false, flap},
		{"a lost rack", crasherNodes, 4, 1, false, loseRack},
		{"restarted nodes", crasherNodes, 4, 1, false, restartHalf},
		{"rare requests and flapping upstreams", crasherNodes, 1, 1, false, flap},
		{"the first part and a lost rack", 9, 4, 1, true, loseRack},
	}
	for _, tc := range tests {
		for seed := range uint64(2) {
			playPartCase(t, tc, seed, (*crasherFleet).checkSends, (*crasherFleet).checkSound, (*crasherFleet).checkParts)
		}
	}
}

// TestNoPartIsBlamedWithoutACrashingOne guards against quarantines of parts whose upstreams die for other reasons.
func TestNoPartIsBlamedWithoutACrashingOne(t *testing.T) {
	for _, tc := range []partCase{
		{"flapping upstreams", crasherNodes, 0, 0, false, flap},
		{"a lost rack", crasherNodes, 0, 0, false, loseRack},
		{"flapping upstreams, few nodes", 3, 0, 0, false, flap},
	} {
		for seed := range uint64(2) {
			playPartCase(t, tc, seed, (*crasherFleet).checkParts)
		}
	}
}

// TestSoundPartsAreNotTakenForOnesThatBeginToCrash guards against quarantines of parts that are answered, whose upstreams die
// for other reasons.
func TestSoundPartsAreNotTakenForOnesThatBeginToCrash(t *testing.T) {
	for _, answerTime := range []time.Duration{200 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, nodes := range []int{3, 9, crasherNodes} {
			t.Run(fmt.Sprintf("%d nodes, answers of %v", nodes, answerTime), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newCrasherFleet(t, nodes, 1)
					f.answerTime = answerTime
					traffic := &partTraffic{fleet: f}
					f.run(20*time.Second, func(elapsed time.Duration) {
						flap(f, elapsed)
						loseRack(f, elapsed)
						traffic.tick()
						if elapsed%time.Second == 0 {
							f.checkParts()
						}
					})
					f.checkParts()
				})
			})
		}
	}
}

// playTurningPart plays traffic with a part that is answered for a while and then crashes what runs it, and checks each case.
func playTurningPart(t *testing.T, check func(*crasherFleet)) {
	const (
		soundTime      = 6 * time.Second
		crashTime      = 20 * time.Second
		stabilityBound = 3 * time.Second // the shortest that the users name
	)
	for _, tc := range []struct {
		name       string
		nodes      int
		perSecond  float64
		answerTime time.Duration
		disturb    func(f *crasherFleet, elapsed time.Duration)
	}{
		{"a fifth of the traffic", crasherNodes, 13, 200 * time.Millisecond, nil},
		{"a fifth of the traffic, few nodes", 9, 13, 200 * time.Millisecond, nil},
		{"a third of the traffic", crasherNodes, 30, 200 * time.Millisecond, nil},
		{"four requests a second", crasherNodes, 4, 200 * time.Millisecond, nil},
		{"one request a second", crasherNodes, 1, 200 * time.Millisecond, nil},
		{"three nodes", 3, 4, 200 * time.Millisecond, nil},
		{"answers of before that end later", 9, 8, 3 * time.Second, nil},
		{"flapping upstreams", 9, 8, 200 * time.Millisecond, flap},
		{"a lost rack", 9, 8, 200 * time.Millisecond, loseRack},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newCrasherFleet(t, tc.nodes, seed)
					f.turnAt, f.lateAfter, f.answerTime = time.Now().Add(soundTime), stabilityBound, tc.answerTime
					traffic := &partTraffic{fleet: f, perSecond: tc.perSecond, crashing: 1}
					f.run(soundTime+crashTime, func(elapsed time.Duration) {
						if tc.disturb != nil {
							tc.disturb(f, elapsed)
						}
						traffic.tick()
					})
					f.runOn(traffic)
					check(f)
				})
			})
		}
	}
}

// TestPartThatBeginsToCrashIsRefused guards against requests that are sent on though upstreams die of a part that was answered
// for a while before, and against sound parts and callers that pay for it.
func TestPartThatBeginsToCrashIsRefused(t *testing.T) {
	playTurningPart(t, func(f *crasherFleet) {
		f.checkSends()
		f.checkSound()
		f.checkParts()
	})
}

// TestPartThatBeginsToCrashBlamesNoOther guards against innocent requests in quarantine beside such a part.
func TestPartThatBeginsToCrashBlamesNoOther(t *testing.T) {
	playTurningPart(t, (*crasherFleet).checkOthers)
}
