package trial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/crash"
	"rhubarbspread/io/fake"
)

// TestChatsThatShareACrashingMessageAreRefused guards against chats that are sent on though engines crashed of a message
// that they share, and against refusals of chats that share other messages with them. The engines stay down.
func TestChatsThatShareACrashingMessageAreRefused(t *testing.T) {
	const (
		maxCrashes     = 5 + 3 // by the users' bound
		shared         = "you are a helpful assistant"
		chatsPerSecond = 2
	)
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, recoveryConfig())
			defer f.stop()
			random := rand.New(rand.NewPCG(seed, 3))
			sound, poisoned := newResult(), newResult()
			chat := func(node int, messages ...string) request {
				return request{team: "team-0", prompt: strings.Join(messages, "\n"), parts: messages, tokens: meanTokens, node: node}
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				time.Sleep(faultTime)
				for i := range 10 * chatsPerSecond {
					go f.ask(f.t.Context(), poisoned, chat(random.IntN(len(f.nodes)), shared, fake.PoisonMark, fmt.Sprint("question ", i)),
						fmt.Sprint("poisoned-", i))
					time.Sleep(time.Second / chatsPerSecond)
				}
				time.Sleep(10 * time.Second)
			}()
			f.run(sound, load{rate: 0.2 * f.capacity() / meanTokens, duration: recoveryDuration, request: func(r *rand.Rand) request {
				return chat(r.IntN(len(f.nodes)), shared, fmt.Sprint("question ", r.Uint64()))
			}})
			<-done
			crashed := 0
			for _, e := range f.engines {
				if slices.Contains(e.Faults(), fake.Crash) {
					crashed++
				}
			}
			t.Logf("seed %d: %d engines crashed, %d of %d sound chats answered", seed, crashed, sound.answered, sound.offered)
			if crashed == 0 || crashed > maxCrashes {
				t.Errorf("%d engines crashed, want at most %d", crashed, maxCrashes)
			}
			for _, n := range f.nodes {
				for _, e := range n.crashes.List() {
					if e.Fingerprint == crash.NewPartFingerprint(modelName, shared) {
						t.Errorf("a node quarantined the message that all chats share")
					}
				}
			}
			if 2*sound.answered < sound.offered {
				t.Errorf("%d of %d sound chats were answered", sound.answered, sound.offered)
			}
		})
	}
}
