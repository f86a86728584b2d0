/* Epochs of a request to a model split by layers: core/chain, with one node and two stages of one layer each.
 *
 * The node runs each position through both stages. The network may lose, delay or duplicate steps and answers.
 * A step without an answer ends its epoch. A stage may crash and lose its state; the node then sends it the stored
 * inputs of all positions again.
 *
 *   steps              chainAttempt.runPosition and chainAttempt.runStep; the stage's side is the engine's
 *   epoch              chainAttempt.recoverFrom; within an epoch no step is sent twice
 *   heldPositions[]    number of positions whose state a stage holds
 *   confirmed[]        heldPositions as the node knows it: chainAttempt.heldPositions
 *   runs0[], runs1[]   how often positions 0 and 1 were run into a stage's state
 *
 * Properties: each position is accepted once, and is run once into the state of each stage.
 *
 * Mutants: M_ANYANSWER  the node accepts an answer of an older epoch or of another position
 *          M_ANYEPOCH   a stage runs a step of an older epoch, or one that it has already run
 *          M_RESEND     the node resends an unanswered step within its epoch, and the stage runs it again
 */
#define POSITIONS 2
#define EPOCHS 2

byte epoch = 0;
byte heldPositions[2];	/* number of positions whose state each stage holds */
byte stageEpoch[2];	/* epoch of the last step that each stage ran */
byte runs0[2], runs1[2];	/* how often positions 0 and 1 were run into each stage's state */
byte accepted[2];	/* how often the token of each position was accepted */
byte crashes = 0;
byte duplicates = 0;

/* A step has an epoch, its first position and the number of positions. An answer has an epoch, the position after the
 * last one run, and whether the step ran; if it did not, the position is the step's first. */
chan steps[2] = [1] of { byte, byte, byte };
chan answers[2] = [2] of { byte, byte, bool };

inline setRuns(s, position, n)
{
	if
	:: position == 0 -> runs0[s] = n
	:: else -> runs1[s] = n
	fi
}

proctype stage(byte self)
{
	byte stepEpoch, first, count, i;
end:
	do
	:: atomic {
		steps[self]?stepEpoch,first,count ->
		if
		:: duplicates < 2 && nfull(steps[self]) ->
			/* The network duplicates the step. */
			duplicates++;
			steps[self]!stepEpoch,first,count
		:: true
		fi;
		if
#ifdef M_ANYEPOCH
		:: first <= heldPositions[self] ->
#else
		:: stepEpoch > stageEpoch[self] && first <= heldPositions[self] ->
#endif
			/* On a new epoch the stage discards its state from the step's first position on. */
			stageEpoch[self] = stepEpoch;
			i = first;
			do
			:: i < heldPositions[self] ->
#ifdef M_ANYEPOCH
				skip;
#else
				setRuns(self, i, 0);
#endif
				i++
			:: else -> break
			od;
			goto run_step
#ifndef M_ANYEPOCH
		:: stepEpoch == stageEpoch[self] && first == heldPositions[self] -> goto run_step
#ifdef M_RESEND
		:: stepEpoch == stageEpoch[self] && first < heldPositions[self] -> goto run_step
#endif
#endif
		:: else ->
			if
			:: nfull(answers[self]) -> answers[self]!stepEpoch,first,false
			:: true
			fi;
			goto next_step
		fi;
run_step:
		i = first;
		do
		:: i < first + count ->
			if
			:: i == 0 -> runs0[self]++
			:: else -> runs1[self]++
			fi;
			i++
		:: else -> break
		od;
		heldPositions[self] = first + count;
		i = 0;
		if
		:: nfull(answers[self]) -> answers[self]!stepEpoch,heldPositions[self],true
		:: true	/* the answer is lost */
		fi;
next_step:
		stepEpoch = 0; first = 0; count = 0
	   }
	:: atomic {	/* the stage crashes */
		crashes < 1 -> crashes++; heldPositions[self] = 0; stageEpoch[self] = 0; runs0[self] = 0; runs1[self] = 0
	   }
	od
}

proctype node()
{
	byte position = 0, current = 0, answerEpoch, answerEnd, confirmed[2];
	bool ok;
	byte sent[2];	/* not used */
	do
	:: position == POSITIONS -> break
	:: else ->
		current = 0;
		do
		:: current == 2 -> break
		:: else ->
			steps[current]!epoch,confirmed[current],position + 1 - confirmed[current];
await_answer:
			if
			:: atomic {
				answers[current]?answerEpoch,answerEnd,ok ->
				if
#ifdef M_ANYANSWER
				:: ok ->
#else
				:: ok && answerEpoch == epoch && answerEnd == position + 1 ->
#endif
					confirmed[current] = answerEnd; current++
#ifndef M_ANYANSWER
				:: answerEpoch != epoch || (ok && answerEnd != position + 1) ->
					/* A late answer is dropped. */
					goto await_answer
#endif
				:: !ok && answerEpoch == epoch ->
					/* The stage lacks earlier positions: in a new epoch it runs them again from the stored inputs. */
					confirmed[current] = 0; goto recover
				:: else -> goto await_answer
				fi
			   }
			:: true ->
#ifdef M_RESEND
				if
				:: steps[current]!epoch,confirmed[current],position + 1 - confirmed[current]; goto await_answer
				:: true
				fi;
#endif
recover:
				if
				:: epoch == EPOCHS -> goto done
				:: else -> epoch++
				fi;
				/* No stage counts as holding more positions than have an accepted token. */
				if
				:: confirmed[0] > position -> confirmed[0] = position
				:: else
				fi;
				if
				:: confirmed[1] > position -> confirmed[1] = position
				:: else
				fi;
				current = 0
			fi
		od;
		atomic {
			accepted[position]++;
			assert(accepted[position] == 1);
			if
			:: crashes == 0 -> assert(heldPositions[0] == position + 1 && heldPositions[1] == position + 1);
				assert(runs0[0] == 1 && runs0[1] == 1);
				assert(position == 0 || (runs1[0] == 1 && runs1[1] == 1))
			:: else ->
				/* A stage that crashed after its answer is detected by its next step. */
				assert(runs0[0] <= 1 && runs0[1] <= 1 && runs1[0] <= 1 && runs1[1] <= 1)
			fi;
			position++
		}
	od;
done:
	skip
}

init {
	atomic { run stage(0); run stage(1); run node() }
}
