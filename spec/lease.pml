/* Lease, fencing numbers, and orders to engines that ignore them: core/lease and core/scale.
 *
 * Two contenders; time passes in ticks, and every process may be paused for any number of them. A contender
 * takes over after it has seen the row unchanged for TERM ticks. A holder acts only if less than STOP ticks
 * have gone since it sent its last successful renewal; between this check and the sending of the order it may
 * be paused again, for any time. Orders are absolute and carry the holder's number.
 *
 *   number, beat   the lease row; a change of either is a sign of life
 *   check          Lease.Valid, right before each order
 *   reconcile      Reconciler: the holder orders again until the engine holds what it wants
 *
 * With CHECKS the engine refuses an old number. Without, the engine ends all the same as the newest wants.
 *
 * Mutants: M_NOFENCE  (with CHECKS) the engine does not look at the number
 *          M_ONCE     (without) the holder orders once and does not reconcile
 *          M_NOWAIT   a contender takes over without having seen the row unchanged for a term
 *          M_LATEMARK the holder counts its term from the answer to its renewal, not from the sending
 */
#define TERM 3
#define STOP 3
#define LAST 7

byte now = 0;
byte number = 0;
byte beat = 0;
byte engine = 0;	/* number of the order that the engine follows */
chan orders = [2] of { byte };

active proctype clock()
{
end:
	do
	:: now < LAST -> now++
	od
}

active proctype engine_process()
{
	byte n;
end:
	do
	:: atomic {
		orders?n ->
		if
#if defined(CHECKS) && !defined(M_NOFENCE)
		:: n < engine -> skip
#endif
		:: else ->
#ifdef CHECKS
			assert(n >= engine);
#endif
			engine = n
		fi
	   }
	od
}

active [2] proctype contender()
{
	byte seenNumber, seenBeat, seenAt, mine, sentAt, sending, rounds = 0;
watch:
	atomic { seenNumber = number; seenBeat = beat; seenAt = now };
end_wait:
#ifndef M_NOWAIT
	atomic { seenNumber == 0 || now >= seenAt + TERM };
#endif
	sending = now;
	atomic {
		if
		:: number == seenNumber && beat == seenBeat -> number++; beat++; mine = number
		:: else -> goto watch
		fi
	};
#ifdef M_LATEMARK
	sentAt = now;
#else
	sentAt = sending;
#endif
	do
	:: rounds < 2 ->
		rounds++;
		atomic {
			if
			:: now < sentAt + STOP ->
				assert(number == mine)	/* no newer holder while this one's term runs */
			:: else -> break
			fi
		};
		orders!mine;
		if
		:: sending = now;
			atomic {
				if
				:: number == mine -> beat++
				:: else -> break
				fi
			};
#ifdef M_LATEMARK
			sentAt = now
#else
			sentAt = sending
#endif
		:: true
		fi
	:: break
	od;
end_reconcile:
#ifndef M_ONCE
	do
	:: atomic { number == mine && engine != mine && empty(orders) -> orders!mine }
	od
#else
	skip
#endif
}

/* When nothing moves any more, the engine follows the newest holder. */
active proctype monitor()
{
	timeout -> assert(engine == number)
}
