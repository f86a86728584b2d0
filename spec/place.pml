/* Placement of layers: core/place under a lease, with orders that are lost or carried out late, and upstreams that
 * start again empty.
 *
 * Two upstreams and two ranges of layers, 1 and 2; 0 is empty. Two holders of the lease follow each other at any
 * moment, the first may be amid an order. A holder asks an upstream for its report right before an order; the order
 * carries the sequence that was read. Its answer may be lost, the order too, and an order may be carried out any time
 * later, also in a later life of the upstream. A holder remembers orders that it believes to be under way (pending)
 * for one life of the upstream and for a time.
 *
 *   order    Planner.perform: report, check, order
 *   forget   Planner.member: a pending order ends with its time or with the upstream's life
 *   choose   Plan and Mend: an empty upstream gets the range that no other has; of two with the same, one moves
 *
 * Holds: an order is carried out only on the state that it was planned for, or on an upstream that started again.
 *        When nothing moves any more, both ranges are held.
 *
 * Mutants: M_NOSEQ    orders carry no sequence
 *          M_TRUST    a holder never forgets an order that it gave
 *          M_NOBORN   a holder does not see that an upstream started again (and so never fills it)
 *          M_NOREAD   a new holder orders by the list of before, without asking for the report, and with no sequence
 */
#define RESTARTS 1
#define LATE 1
#define ORDERS 3	/* of each holder */

byte held[2];
byte seq[2];
byte life[2];
byte restarts = 0;
byte given[2];
byte holder = 0;	/* which planner has the lease */
chan late = [LATE] of { byte, byte, byte, byte, byte };	/* upstream, range, sequence, held and life as planned for */

inline carry(u, r, s, h, l)
{
	if
#ifndef M_NOSEQ
	:: s != seq[u] -> skip	/* refused */
	:: s == seq[u] ->
#else
	:: true ->
#endif
		assert(l != life[u] || h == held[u]);
		held[u] = r;
		seq[u]++
	fi
}

active proctype network()
{
	byte u, r, s, h, l;
end:
	do
	:: atomic { late?u, r, s, h, l -> carry(u, r, s, h, l) }
	od
}

active proctype faults()
{
	byte u;
end:
	do
	:: restarts < RESTARTS ->
		atomic {
			restarts++;
			if
			:: u = 0
			:: u = 1
			fi;
			held[u] = 0; seq[u] = 0; life[u]++
		}
	:: holder == 0 -> holder = 1
	:: break
	od
}

active [2] proctype planner()
{
	byte u, r, s, h, l;
	byte pending[2], pendingLife[2];
	end_wait:
	holder == _pid - 2;
end_work:
	do
	:: atomic {	/* forget: the time of a pending order is over, or the upstream has another life */
#ifndef M_TRUST
		(pending[0] != 0 || pending[1] != 0) -> pending[0] = 0; pending[1] = 0
#else
		(pending[0] != 0 && pendingLife[0] != life[0] || pending[1] != 0 && pendingLife[1] != life[1]) ->
		if
		:: pending[0] != 0 && pendingLife[0] != life[0] -> pending[0] = 0
		:: else -> pending[1] = 0
		fi
#endif
	   }
	:: atomic {	/* choose */
		holder == _pid - 2 && given[_pid - 2] < ORDERS &&
#ifdef M_NOBORN
		(held[0] == 0 && pending[0] == 0 && life[0] == 0 || held[1] == 0 && pending[1] == 0 && life[1] == 0 ||
#else
		(held[0] == 0 && pending[0] == 0 || held[1] == 0 && pending[1] == 0 ||
#endif
		held[0] != 0 && held[0] == held[1] && pending[0] == 0 && pending[1] == 0) ->
		if
		:: held[0] == 0 && pending[0] == 0 -> u = 0
		:: held[1] == 0 && pending[1] == 0 -> u = 1
		:: held[0] != 0 && held[0] == held[1] -> u = 1
		fi;
		if
		:: held[1 - u] == 1 -> r = 2
		:: else -> r = 1
		fi;
		h = held[u]; l = life[u]
	   };
	   /* The report is read; between it and the order anything may happen. */
#ifdef M_NOREAD
	   atomic { s = seq[u] };
#else
	   atomic { s = seq[u]; h = held[u]; l = life[u] };
#endif
	   given[_pid - 2]++;
	   if
	   :: atomic { pending[u] = r; pendingLife[u] = l; carry(u, r, s, h, l) }	/* carried out at once */
	   :: atomic { pending[u] = r; pendingLife[u] = l; nfull(late) -> late!u, r, s, h, l }	/* late */
	   :: pending[u] = r; pendingLife[u] = l	/* lost */
	   fi
	od
}

/* When nothing moves any more, both ranges are held, unless the holders' orders (bounded here) are used up. */
active proctype monitor()
{
	timeout -> assert(held[0] + held[1] == 3 && held[0] != 0 && held[1] != 0 || given[holder] == ORDERS)
}
