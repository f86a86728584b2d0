/* Lease, fencing tokens, and orders to engines that may ignore them: core/lease and core/scale.
 *
 * There are two candidates. Time passes in ticks, and any process may be paused for any number of ticks. A candidate
 * takes over after it has seen the row unchanged for TERM ticks. A holder acts only if fewer than VALID ticks have
 * passed since it sent its last successful renewal; between this check and the sending of the order it may be
 * paused again, for any time. Orders state the complete desired state and carry the holder's fencing token.
 *
 *   fencingToken, heartbeat   the lease row; a change of either shows that a holder is alive
 *   validity check            Lease.Valid, right before each order
 *   end_reconcile             Reconciler: the holder repeats its order until the engine follows it
 *
 * With CHECKS the engine rejects an outdated fencing token. Without, the engine still ends in the state that the newest
 * holder wants.
 *
 * Mutants: M_NOFENCE         (with CHECKS) the engine does not check the fencing token
 *          M_ONCE            (without CHECKS) the holder orders once and does not reconcile
 *          M_NOWAIT          a candidate takes over without having seen the row unchanged for a term
 *          M_TERMFROMANSWER  the holder counts its term from the answer to its renewal, not from the sending
 */
#define TERM 3	/* ticks */
#define VALID 3	/* ticks for which a holder may act after a renewal */
#define LAST_TICK 7	/* the tick at which time ends */

byte now = 0;
byte fencingToken = 0;
byte heartbeat = 0;
byte engineToken = 0;	/* fencing token of the order that the engine follows */
chan orders = [2] of { byte };

active proctype clock()
{
end:
	do
	:: now < LAST_TICK -> now++
	od
}

active proctype engine()
{
	byte orderToken;
end:
	do
	:: atomic {
		orders?orderToken ->
		if
#if defined(CHECKS) && !defined(M_NOFENCE)
		:: orderToken < engineToken -> skip
#endif
		:: else ->
#ifdef CHECKS
			assert(orderToken >= engineToken);
#endif
			engineToken = orderToken
		fi
	   }
	od
}

active [2] proctype candidate()
{
	byte seenToken, seenHeartbeat, seenAt, ownToken, termStart, renewalSentAt, rounds = 0;
watch:
	atomic { seenToken = fencingToken; seenHeartbeat = heartbeat; seenAt = now };
end_wait:
#ifndef M_NOWAIT
	atomic { seenToken == 0 || now >= seenAt + TERM };
#endif
	renewalSentAt = now;
	atomic {
		if
		:: fencingToken == seenToken && heartbeat == seenHeartbeat -> fencingToken++; heartbeat++; ownToken = fencingToken
		:: else -> goto watch
		fi
	};
#ifdef M_TERMFROMANSWER
	termStart = now;
#else
	termStart = renewalSentAt;
#endif
	do
	:: rounds < 2 ->
		rounds++;
		atomic {
			if
			:: now < termStart + VALID ->
				assert(fencingToken == ownToken)	/* there is no newer holder while this one may act */
			:: else -> break
			fi
		};
		orders!ownToken;
		if
		:: renewalSentAt = now;
			atomic {
				if
				:: fencingToken == ownToken -> heartbeat++
				:: else -> break
				fi
			};
#ifdef M_TERMFROMANSWER
			termStart = now
#else
			termStart = renewalSentAt
#endif
		:: true
		fi
	:: break
	od;
end_reconcile:
#ifndef M_ONCE
	do
	:: atomic { fencingToken == ownToken && engineToken != ownToken && empty(orders) -> orders!ownToken }
	od
#else
	skip
#endif
}

/* When no process can make a step, the engine follows the newest holder. */
active proctype monitor()
{
	timeout -> assert(engineToken == fencingToken)
}
