/* At-most-once execution: the ledger of core/once.
 *
 * Each process is a request with the same idempotency key, sent up to ATTEMPTS times through a node of its own. A token
 * is a license to send once. The table accepts a write only if the row has the expected version. The answer to a write
 * may be lost before or after the write takes effect, and the write may take effect late. A node may crash at any step;
 * its next incarnation has no record of its tokens.
 *
 *   claim, examine   Ledger.claim and Ledger.examine in ledger.go; the read between them is Ledger.reread
 *   tokenState[]     tokens in tokens.go; a read of another node's entry is Peers.TokenState
 *   record           License.End, License.Release and License.record in record.go
 *
 * Property: the call is executed at most once.
 *
 * Mutants, each of which has to fail:
 *   M_UNKNOWN    a token that its node has no record of counts as revoked
 *   M_ABSENT     a claim whose answer was lost counts as written although the row is still absent
 *   M_UNDECIDED  a token whose claim is still undecided counts as revoked
 */
#define NODES 2
#define ATTEMPTS 2
#define CLAIMS 2
#define TOKENS 8

#define UNKNOWN 0
#define UNDECIDED 1
#define LICENSED 2
#define REVOKED 3
#define ANSWERED 4

mtype = { started, finished, abandoned, answer_lost };
mtype rowState = started;
byte rowToken = 0;	/* token in the row, 0 if the row is absent */
byte rowVersion = 0;
byte tokenState[TOKENS + 1];
byte executions = 0;
byte crashes = 0;

/* A late write has a state, a token and the expected version. */
chan lateWrites = [1] of { mtype, byte, byte };

/* write applies a write if the row has the expected version. */
inline write(newState, newToken, expected)
{
	if
	:: rowVersion == expected -> rowState = newState; rowToken = newToken; rowVersion = expected + 1; applied = true
	:: else -> applied = false
	fi
}

active proctype late_writer()
{
	mtype newState; byte newToken, expected; bool applied;
end:
	do
	:: d_step { lateWrites?newState,newToken,expected -> write(newState, newToken, expected) }
	od
}

/* crash may crash the node, which loses its token states and ends the attempt. */
inline crash()
{
	if
	:: true
	:: crashes < 1 ->
		d_step {
			crashes++;
			i = 0;
			do
			:: i < CLAIMS * ATTEMPTS -> tokenState[1 + self * CLAIMS * ATTEMPTS + i] = UNKNOWN; i++
			:: else -> break
			od;
			i = 0
		}
		goto next_attempt
	fi
}

/* record writes the row's final state once; if the write fails, the row stays as it was. */
inline record(finalState)
{
	if
	:: d_step { write(finalState, ownToken, expectedVersion) }
	:: nfull(lateWrites) -> lateWrites!finalState,ownToken,expectedVersion
	:: true
	fi
}

proctype request(byte self)
{
	byte attempt = 0, claims, ownToken, expectedVersion, i = 0, seenToken, seenVersion, seenTokenState;
	mtype seenState;
	bool applied, answered;
new_attempt:
	claims = 0;
	expectedVersion = 0;
claim:
	ownToken = 1 + (self * ATTEMPTS + attempt) * CLAIMS + claims;
	claims++;
	tokenState[ownToken] = UNDECIDED;
	crash();
	answered = false;
	if
	:: d_step { write(started, ownToken, expectedVersion); answered = true }
	:: d_step { write(started, ownToken, expectedVersion) }
	:: true
	:: nfull(lateWrites) -> lateWrites!started,ownToken,expectedVersion
	fi;
	if
	:: answered && applied -> expectedVersion++; tokenState[ownToken] = LICENSED; goto licensed
	:: else
	fi;
	crash();
	if
	:: tokenState[ownToken] = REVOKED; goto next_attempt	/* the row can't be read */
	:: d_step { seenToken = rowToken; seenState = rowState; seenVersion = rowVersion }
	fi;
	if
	:: seenVersion == 0 || seenVersion == expectedVersion ->
#ifdef M_ABSENT
		expectedVersion++; tokenState[ownToken] = LICENSED; goto licensed
#else
		tokenState[ownToken] = REVOKED; goto next_attempt
#endif
	:: else
	fi;
	if
	:: seenToken == ownToken -> expectedVersion++; tokenState[ownToken] = LICENSED; goto licensed
	:: else -> tokenState[ownToken] = REVOKED
	fi;
	/* Examine the stored row. */
	if
	:: seenState == finished || seenState == answer_lost -> goto next_attempt
	:: seenState == abandoned -> skip
	:: seenState == started ->
		if
		:: seenTokenState = tokenState[seenToken]
		:: goto next_attempt	/* its node is unreachable */
		fi;
		if
		:: seenTokenState == REVOKED
#ifdef M_UNKNOWN
		:: seenTokenState == UNKNOWN
#endif
#ifdef M_UNDECIDED
		:: seenTokenState == UNDECIDED
#endif
		:: else -> goto next_attempt
		fi
	fi;
	if
	:: claims < CLAIMS -> expectedVersion = seenVersion; goto claim
	:: else -> goto next_attempt
	fi;
licensed:
	crash();
	if
	:: executions++; assert(executions <= 1); crash();
		if
		:: tokenState[ownToken] = ANSWERED; record(finished)
		:: record(answer_lost)
		fi
	:: tokenState[ownToken] = REVOKED; record(abandoned)	/* the call was not sent */
	fi;
next_attempt:
	atomic {
		claims = 0; expectedVersion = 0; ownToken = 0; seenToken = 0; seenVersion = 0; seenTokenState = 0;
		seenState = started; applied = false; answered = false
	};
	attempt++;
	if
	:: attempt < ATTEMPTS -> goto new_attempt
	:: else
	fi
}

init {
	atomic { run request(0); run request(1) }
}
