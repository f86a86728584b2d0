package proxy

import (
	"context"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/queue"
)

// waiting is the way in which a request waits for capacity: *unordered or *queued.
type waiting interface {
	// begin returns an error if the wait can't end in time.
	begin() error
	// longest returns how long the request waits at most.
	longest() time.Duration
	// turn returns a channel that receives or is closed when the request may look for capacity, and whether it looks before its wait
	// may end.
	turn() (c <-chan struct{}, isDue bool)
	// need returns the requirements with which the request looks.
	need() *board.Need
	// pass records that the request has found nothing, or did not look because it is withheld.
	pass(isWithheld bool)
	// proceed returns an error if the next turn after one that was passed can't come in time.
	proceed(isWithheld bool) error
	// admit records that the request has got capacity.
	admit()
	// refuse returns the error of a request that has waited in vain.
	refuse() error
	// leave ends the wait.
	leave()
}

// reserve waits until an upstream or a path has capacity for the request, and reserves it.
func (r *run) reserve(ctx context.Context) (*board.Reservation, error) {
	began := time.Now()
	defer func() { r.executor.meter.Observe("wait-for-room-us", time.Since(began)) }()
	w := r.startWaiting(began)
	defer w.leave()
	if err := w.begin(); err != nil {
		return nil, err
	}
	until, stop := r.executor.endOfWait(r.ctx, w.longest())
	defer stop()
	isWithheld := false
	var release <-chan time.Time // when to ask again whether the request is withheld; nil if it is not
	for {
		if turn, isDue := w.turn(); isDue {
			<-turn
		} else {
			select {
			case <-turn:
			case <-release:
			case <-until:
				r.executor.endWait()
				if isWithheld {
					return nil, r.withheldRefusal()
				}
				return nil, w.refuse()
			case <-ctx.Done():
				r.executor.endWait()
				return nil, r.refusal("its time is over")
			}
		}
		var res *board.Reservation
		if res, isWithheld = r.tryAdmitted(w.need()); res != nil {
			w.admit()
			return res, nil
		}
		release = nil
		if isWithheld {
			release = time.After(withheldPoll)
		}
		w.pass(isWithheld)
		if rest := r.restWait(); rest > maxCapacityWait {
			return nil, r.restRefusal(rest)
		}
		if err := w.proceed(isWithheld); err != nil {
			return nil, err
		}
	}
}

// startWaiting returns the way in which the request waits.
func (r *run) startWaiting(began time.Time) waiting {
	if r.isInAdmission() {
		return r.joinQueue(began)
	}
	due := make(chan struct{})
	close(due)
	return &unordered{run: r, began: began, freed: due}
}

// unordered is a wait outside admission control: all requests look whenever capacity becomes free.
type unordered struct {
	run      *run
	began    time.Time
	freed    <-chan struct{}
	hasBegun bool
}

func (u *unordered) begin() error           { return nil }
func (u *unordered) longest() time.Duration { return maxCapacityWait }

// turn is due at first, as there may be capacity.
func (u *unordered) turn() (<-chan struct{}, bool) { return u.freed, !u.hasBegun }

// need asks for the next wake before the request looks, so that capacity that becomes free meanwhile is not missed.
func (u *unordered) need() *board.Need {
	u.hasBegun, u.freed = true, u.run.executor.board.CapacityFreed()
	return u.run.need(u.run.excluded())
}

func (u *unordered) pass(bool)          {}
func (u *unordered) proceed(bool) error { return nil }
func (u *unordered) admit()             {}
func (u *unordered) leave()             {}

func (u *unordered) refuse() error {
	u.run.logShortage(time.Since(u.began))
	return u.run.refusal("no upstream has room")
}

// queued is a wait in the queue of the service.
type queued struct {
	run         *run
	began       time.Time
	wait        time.Duration
	place       *queue.Waiter
	gotCapacity bool
}

// joinQueue enters the request into the queue of its service.
func (r *run) joinQueue(began time.Time) *queued {
	isRaised := r.headersSent || r.ticket.Limits().Raised // a stream that broke off goes before those that have not begun
	if isRaised {
		r.executor.meter.Count("admission-raised")
	}
	q := &queued{run: r, began: began, wait: r.longestWait()}
	q.place = r.admission.Queue.Join(queue.Entry{
		Rank: r.rank(), Raised: isRaised, Team: r.request.Team.Name, Tokens: r.tokens(), AimUntil: r.aimUntil(),
	})
	r.setAhead(q.place)
	return q
}

func (q *queued) begin() error {
	if q.place.IsBlocked() && q.run.isHopeless(q.place.Ahead(), q.wait) {
		return q.run.refuseHopeless(q.began, q.place)
	}
	return nil
}

func (q *queued) longest() time.Duration { return q.wait }

// turn is due in a dry run that has one, as its wait is over at once.
func (q *queued) turn() (<-chan struct{}, bool) {
	c := q.place.Turn()
	return c, q.run.executor.isDry() && len(c) > 0
}

func (q *queued) need() *board.Need { return q.run.limitedNeed(q.run.excluded()) }

func (q *queued) pass(isWithheld bool) {
	if isWithheld {
		q.place.Skip()
	} else {
		q.place.Pass()
	}
}

func (q *queued) proceed(isWithheld bool) error {
	if !isWithheld && q.run.isHopeless(q.place.Ahead(), q.wait-time.Since(q.began)) {
		return q.run.refuseHopeless(q.began, q.place)
	}
	return nil
}

func (q *queued) admit() {
	q.gotCapacity = true
	q.run.ticket.Admit()
}

func (q *queued) refuse() error {
	return q.run.refuseAdmission("no upstream has room", q.began, q.place)
}

func (q *queued) leave() { q.place.Leave(q.gotCapacity) }
