package proxy

import (
	"errors"
	"io"
	"slices"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/reply"
)

// errSuperseded is why an attempt is canceled while others run: another one has begun to answer, or has gone on.
var errSuperseded = errors.New("another attempt answers")

// replace makes another attempt, without the upstream at fault, beside one that is silent and goes on. The first of them
// to answer is passed on. It returns false if no other attempt may be made now.
func (r *run) replace(silent *attempt, faulty *fleet.Upstream, cause string) bool {
	if _, _, isQuarantined := r.quarantine(); isQuarantined || r.executor.crashes.IsWithheld(r.suspects) || !r.mayReplace() {
		return false
	}
	first := silent.reservation.Upstream
	exclude := append(r.inUse(), faulty.ID)
	res := r.tryReserve(r.need(append(exclude, first.ID)))
	if res == nil && faulty != first { // a later stage is at fault, and only this upstream may have the first layers
		res = r.tryReserve(r.need(exclude))
	}
	if res == nil {
		return false
	}
	if !r.executor.budget.Take(r.request.Service.Name) {
		res.Cancel()
		r.setBudgetDenied()
		return false
	}
	paidAt := time.Now()
	a := r.newAttempt(res, silent)
	if a == nil {
		res.Cancel()
		r.executor.budget.Refund(r.request.Service.Name, paidAt)
		return false
	}
	a.paidAt = paidAt
	r.excludeUpstream(faulty.ID)
	r.executor.log.Info("attempt-doubled", "request", r.request.ID, "upstream", faulty.ID, "cause", cause,
		"silent-ms", time.Since(silent.startedAt).Milliseconds())
	go func() {
		a.begin()
		r.replacementBegan(a)
	}()
	return true
}

// mayReplace reports whether the route allows another attempt beside those that run, and each of them has had its time.
func (r *run) mayReplace() bool {
	if !r.mayTryAnother() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreached >= maxUnreached || r.sent >= r.request.Route.MaxAttempts+extraRefusals {
		return false
	}
	if time.Since(r.budgetDeniedAt) < budgetPause {
		return false
	}
	for _, a := range r.replacements {
		if a.isDone() || time.Since(a.startedAt) < a.allowedSilence(false) {
			return false
		}
	}
	return true
}

// budgetPause is the time after a denied retry until the budget is asked again, for which capacity has to be reserved.
const budgetPause = 500 * time.Millisecond

func (r *run) setBudgetDenied() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgetDeniedAt = time.Now()
}

// isBeside reports whether an attempt began beside the current one and has not taken its place.
func (r *run) isBeside(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return a.begun != nil && !a.isAdopted
}

// isDone reports whether begin has ended.
func (a *attempt) isDone() bool {
	select {
	case <-a.begun:
		return true
	default:
		return false
	}
}

// inUse returns the IDs of the upstreams that failed the request or have an attempt beside the first.
func (r *run) inUse() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := slices.Clone(r.exclude)
	for _, a := range r.replacements {
		ids = append(ids, a.reservation.Upstream.ID)
	}
	return ids
}

// replacementBegan handles the end of begin: an attempt with an answer supersedes the silent one, and one that failed is
// forgotten.
func (r *run) replacementBegan(a *attempt) {
	r.mu.Lock()
	isLeft := !a.isAdopted && (a.isAbandoned || a.outcome != nil || r.isAnswered || r.winner() != nil)
	switch {
	case isLeft:
		r.removeReplacement(a)
	case !a.isAdopted && !a.endedAtOnce():
		r.supersede(a)
	}
	close(a.begun)
	r.mu.Unlock()
	if isLeft {
		a.finishAbandoned()
	}
}

// endedAtOnce reports whether a stream ended without an event. The silent attempt that it was to replace may have more.
func (a *attempt) endedAtOnce() bool { return errors.Is(a.readErr, io.EOF) }

// supersede cancels the current attempt for another one that has an answer; the caller holds the lock.
func (r *run) supersede(a *attempt) {
	a.hasWon = true
	if r.current == nil {
		return // it has just ended by itself
	}
	r.executor.log.Info("attempt-given-up", "request", r.request.ID, "upstream", r.current.reservation.Upstream.ID,
		"cause", errSuperseded.Error(), "other", a.reservation.Upstream.ID,
		"ms", time.Since(r.current.startedAt).Milliseconds())
	r.current.cancel(errSuperseded)
}

// supersedeByEnd lets a stream that ended at once supersede the current attempt, and reports whether there is one.
func (r *run) supersedeByEnd() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.replacements {
		if a.isDone() && !a.hasWon && r.winner() == nil {
			r.supersede(a)
			return true
		}
	}
	return false
}

// winner returns the attempt that the current one is canceled for, or nil; the caller holds the lock.
func (r *run) winner() *attempt {
	for _, a := range r.replacements {
		if a.hasWon {
			return a
		}
	}
	return nil
}

// takeAnswer makes the answer of the current attempt that of the request, and cancels the others. It returns false if
// another attempt has superseded this one, and not all of its answer has arrived.
func (r *run) takeAnswer(isAll bool) bool {
	r.mu.Lock()
	isLost := !isAll && r.winner() != nil
	r.isAnswered = r.isAnswered || !isLost
	r.mu.Unlock()
	if isLost {
		return false
	}
	r.abandonReplacements(false)
	return true
}

// finishAbandoned finishes an attempt that failed beside another, or that another one was faster than.
func (a *attempt) finishAbandoned() {
	o := a.outcome
	if o == nil {
		o = reply.NewUnknown(reply.CanceledByNode, errSuperseded.Error())
	}
	a.finish(o)
}

// removeReplacement removes an attempt from the replacements; the caller holds the lock.
func (r *run) removeReplacement(a *attempt) {
	if i := slices.Index(r.replacements, a); i >= 0 {
		r.replacements = slices.Delete(r.replacements, i, i+1)
	}
}

// adoptReplacement makes an attempt that began beside the last one the current one, and returns it, or nil if there is
// none. One that answers is preferred.
func (r *run) adoptReplacement() *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.replacements) == 0 {
		return nil
	}
	a := r.winner()
	for i := 0; a == nil && i < len(r.replacements); i++ {
		if r.replacements[i].isDone() {
			a = r.replacements[i]
		}
	}
	if a == nil {
		a = r.replacements[0]
	}
	r.removeReplacement(a)
	a.isAdopted = true
	r.current = a
	return a
}

// hasReplacement reports whether an attempt goes on beside the one that has just ended.
func (r *run) hasReplacement() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.replacements) > 0
}

// abandonReplacements cancels the attempts beside the current one, which goes on. With keepWinner, the one that the
// current one has been canceled for is kept.
func (r *run) abandonReplacements(keepWinner bool) {
	r.mu.Lock()
	r.isAnswered = r.isAnswered || !keepWinner
	var done []*attempt
	for _, a := range slices.Clone(r.replacements) {
		if a.hasWon && keepWinner {
			continue
		}
		r.removeReplacement(a)
		a.isAbandoned = true
		a.cancel(errSuperseded)
		if a.isDone() {
			done = append(done, a)
		}
	}
	r.mu.Unlock()
	for _, a := range done {
		a.finishAbandoned()
	}
}
