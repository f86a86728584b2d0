package carry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/rules"

	"pgregory.net/rapid"
)

const lastEvent = 9 // of a whole stream in these tests

// try is what an upstream does with one attempt at a stream.
type try struct {
	kind   int
	events int // that it gives
	again  int // events that it repeats
}

// The kinds of tries.
const (
	goesOn = iota
	breaksOff
	fallsSilent
	leavesAGap
	fails
	refuses
	answersAnother
	resetsBefore
	isOutOfReach
	tryKinds
)

// play gives the upstream's answer to an attempt that goes on behind an event, and whether it ran.
func (y try) play(behind int) (*Answer, bool, error) {
	first := max(0, behind+1-y.again)
	last := min(lastEvent, first+y.events)
	pause := 20 * time.Millisecond
	seal := strconv.Itoa(y.kind)
	switch y.kind {
	case goesOn:
		return ok(seal, &script{steps: eventsFrom(first, lastEvent, pause)}), true, nil
	case breaksOff:
		half := piece{text: "id: " + strconv.Itoa(last+1) + "\nda"}
		return ok(seal, &script{steps: append(eventsFrom(first, last, pause), half, piece{err: io.ErrUnexpectedEOF})}), true, nil
	case fallsSilent:
		return ok(seal, &script{steps: append(eventsFrom(first, last, pause), piece{pause: time.Hour})}), true, nil
	case leavesAGap:
		if last+2 > lastEvent { // nothing would come behind the gap
			return ok(seal, &script{steps: eventsFrom(first, lastEvent, pause)}), true, nil
		}
		return ok(seal, &script{steps: append(eventsFrom(first, last, pause), eventsFrom(last+2, lastEvent, pause)...)}), true, nil
	case fails:
		return &Answer{Verdict: Verdict{Sealed: true}, Status: http.StatusInternalServerError, Body: plainBody("bad")}, true, nil
	case refuses:
		return notRun(""), false, nil
	case answersAnother:
		return &Answer{Verdict: Verdict{Foreign: true, Sealed: true}, Status: http.StatusOK, Body: plainBody("theirs")}, true, nil
	case resetsBefore:
		return nil, true, NewSendError(true, errors.New("reset"))
	}
	return nil, false, NewSendError(false, errors.New("unreachable"))
}

// TestRepairOfAnyStream draws what upstreams do with the attempts at a stream and holds the caller's part against a
// plain oracle: whole events from the first on, each once and in order; all of them if the answer is said to be
// complete; nothing beside a refusal; a promise that nothing ran only if that is so; repeats within the budget.
func TestRepairOfAnyStream(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tries := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) try {
			return try{
				rapid.IntRange(0, tryKinds-1).Draw(rt, "kind"), rapid.IntRange(0, lastEvent).Draw(rt, "events"),
				rapid.IntRange(0, 3).Draw(rt, "again"),
			}
		}), 1, 6).Draw(rt, "tries")
		budget := rapid.IntRange(0, 5).Draw(rt, "budget")
		attempts := rapid.IntRange(1, 5).Draw(rt, "attempts of the route")
		var fault error
		synctest.Test(t, func(t *testing.T) { fault = playRepair(t, tries, budget, attempts) })
		if fault != nil {
			rt.Fatal(fault)
		}
	})
}

func playRepair(t *testing.T, tries []try, budget, attempts int) error {
	w := &world{list: layered(), repeats: budget}
	ran, reached := 0, 0
	w.answer = func(s *Send, n int) (*Answer, error) {
		behind := -1
		if s.LastEvent != "" {
			behind, _ = strconv.Atoi(s.LastEvent)
		}
		y := tries[(n-1)%len(tries)]
		a, isRun, err := y.play(behind)
		if isRun {
			ran++
		}
		if y.kind != isOutOfReach {
			reached++
		}
		return a, err
	}
	r := route(rules.Streaming)
	r.Attempts = attempts
	var c caller
	q := request(r, model())
	err := w.carrier().Run(t.Context(), q, &c)
	var refusal *Refusal
	body := c.body.String()
	switch {
	case errors.As(err, &refusal):
		if body != "" || c.status != 0 {
			return fmt.Errorf("%v beside an answer of status %d and %q", err, c.status, body)
		}
		if refusal.Status == http.StatusServiceUnavailable && ran > 0 {
			return fmt.Errorf("%v, though %d attempts ran", err, ran)
		}
	case err == nil && c.status == http.StatusInternalServerError:
		if body != "bad" {
			return fmt.Errorf("a failure was passed on as %q", body)
		}
	default:
		last := strings.Count(body, "\n\n") - 1
		if want := eventTexts(0, last); body != want {
			return fmt.Errorf("the caller got %q, not events 0 to %d", body, last)
		}
		if err == nil && last != lastEvent {
			return fmt.Errorf("the answer is said to be complete with %d events", last+1)
		}
	}
	if reached > 1+budget || ran > attempts {
		return fmt.Errorf("%d attempts reached upstreams and %d ran, with a budget of %d and a route that allows %d", reached, ran, budget, attempts)
	}
	if time.Now().After(q.Until.Add(time.Millisecond)) {
		return fmt.Errorf("it ended %v after the request's time", time.Since(q.Until))
	}
	return nil
}
