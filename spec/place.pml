/* Placement of layers: core/place under a lease, with orders that are lost or carried out late, and upstreams that
 * restart empty.
 *
 * There are two upstreams and two ranges of layers, 1 and 2; 0 is empty. The lease passes from its first holder to the
 * second at any moment, even while the first is sending an order. A holder requests an upstream's report right before
 * an order; the order carries the sequence of the report. The order or its answer may be lost, and the order may be
 * carried out at any later time, even in a later incarnation of the upstream. A holder keeps an order pending until it
 * expires or the upstream has another incarnation.
 *
 *   order     Planner.orderMove: request the report, check it, send the order
 *   expire    Planner.member: a pending order ends when it expires or with the upstream's incarnation
 *   choose    Plan and Rebalance: an empty upstream gets a range that no other holds; of two that hold the same, one
 *             moves
 *
 * Properties: an order is carried out only on the state that it was planned for, or on an upstream that has restarted.
 *             When no process can make a step, both ranges are held.
 *
 * Mutants: M_NOSEQ          orders carry no sequence
 *          M_NOEXPIRY       a pending order does not expire; it ends only with the upstream's incarnation
 *          M_NOINCARNATION  a holder does not plan for an upstream that has restarted, so never fills it
 *          M_NOREAD         an order carries the current sequence, but the state is not read again with it
 */
#define MAX_RESTARTS 1
#define MAX_LATE 1	/* late orders at a time */
#define MAX_ORDERS 3	/* of each lease holder */

byte heldRange[2];	/* range that each upstream holds */
byte sequence[2];	/* version of each upstream's state */
byte incarnation[2];
byte restarts = 0;
byte ordersSent[2];	/* by each lease holder */
byte leaseHolder = 0;	/* the planner that holds the lease */

/* A late order has the upstream, the range to hold, the sequence, and the range and incarnation of the upstream that it
 * was planned for. */
chan lateOrders = [MAX_LATE] of { byte, byte, byte, byte, byte };

/* carryOut changes the upstream's range, and rejects the order if its sequence is outdated. */
inline carryOut(upstream, range, readSequence, plannedRange, plannedIncarnation)
{
	if
#ifndef M_NOSEQ
	:: readSequence != sequence[upstream] -> skip	/* rejected */
	:: readSequence == sequence[upstream] ->
#else
	:: true ->
#endif
		assert(plannedIncarnation != incarnation[upstream] || plannedRange == heldRange[upstream]);
		heldRange[upstream] = range;
		sequence[upstream]++
	fi
}

active proctype network()
{
	byte upstream, range, readSequence, plannedRange, plannedIncarnation;
end:
	do
	:: atomic {
		lateOrders?upstream, range, readSequence, plannedRange, plannedIncarnation ->
		carryOut(upstream, range, readSequence, plannedRange, plannedIncarnation)
	   }
	od
}

active proctype faults()
{
	byte upstream;
end:
	do
	:: restarts < MAX_RESTARTS ->
		atomic {
			restarts++;
			if
			:: upstream = 0
			:: upstream = 1
			fi;
			heldRange[upstream] = 0; sequence[upstream] = 0; incarnation[upstream]++
		}
	:: leaseHolder == 0 -> leaseHolder = 1
	:: break
	od
}

active [2] proctype planner()
{
	byte upstream, range, readSequence, plannedRange, plannedIncarnation;
	byte pending[2], pendingIncarnation[2];
end_wait:
	leaseHolder == _pid - 2;
end_plan:
	do
	:: atomic {	/* expire: a pending order expires, or the upstream has another incarnation */
#ifndef M_NOEXPIRY
		(pending[0] != 0 || pending[1] != 0) -> pending[0] = 0; pending[1] = 0
#else
		(pending[0] != 0 && pendingIncarnation[0] != incarnation[0] ||
		pending[1] != 0 && pendingIncarnation[1] != incarnation[1]) ->
		if
		:: pending[0] != 0 && pendingIncarnation[0] != incarnation[0] -> pending[0] = 0
		:: else -> pending[1] = 0
		fi
#endif
	   }
	:: atomic {	/* choose an upstream and a range */
		leaseHolder == _pid - 2 && ordersSent[_pid - 2] < MAX_ORDERS &&
#ifdef M_NOINCARNATION
		(heldRange[0] == 0 && pending[0] == 0 && incarnation[0] == 0 ||
		heldRange[1] == 0 && pending[1] == 0 && incarnation[1] == 0 ||
#else
		(heldRange[0] == 0 && pending[0] == 0 || heldRange[1] == 0 && pending[1] == 0 ||
#endif
		heldRange[0] != 0 && heldRange[0] == heldRange[1] && pending[0] == 0 && pending[1] == 0) ->
		if
		:: heldRange[0] == 0 && pending[0] == 0 -> upstream = 0
		:: heldRange[1] == 0 && pending[1] == 0 -> upstream = 1
		:: heldRange[0] != 0 && heldRange[0] == heldRange[1] -> upstream = 1
		fi;
		if
		:: heldRange[1 - upstream] == 1 -> range = 2
		:: else -> range = 1
		fi;
		plannedRange = heldRange[upstream]; plannedIncarnation = incarnation[upstream]
	   };
	   /* The report is read; anything may happen between it and the order. */
#ifdef M_NOREAD
	   atomic { readSequence = sequence[upstream] };
#else
	   atomic {
		readSequence = sequence[upstream];
		plannedRange = heldRange[upstream]; plannedIncarnation = incarnation[upstream]
	   };
#endif
	   ordersSent[_pid - 2]++;
	   if
	   :: atomic {	/* the order is carried out at once */
		pending[upstream] = range; pendingIncarnation[upstream] = plannedIncarnation;
		carryOut(upstream, range, readSequence, plannedRange, plannedIncarnation)
	      }
	   :: atomic {	/* the order is carried out late */
		pending[upstream] = range; pendingIncarnation[upstream] = plannedIncarnation;
		nfull(lateOrders) -> lateOrders!upstream, range, readSequence, plannedRange, plannedIncarnation
	      }
	   :: pending[upstream] = range; pendingIncarnation[upstream] = plannedIncarnation	/* the order is lost */
	   fi
	od
}

/* When no process can make a step, both ranges are held, unless the lease holder has sent all MAX_ORDERS orders
 * that the model allows. */
active proctype monitor()
{
	timeout ->
	assert(heldRange[0] + heldRange[1] == 3 && heldRange[0] != 0 && heldRange[1] != 0 ||
		ordersSent[leaseHolder] == MAX_ORDERS)
}
