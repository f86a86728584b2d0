/* Promotion and dissemination of the configuration: core/conf/registry.go, io/daemon/watch.go, core/member.
 *
 * Two operators read the trial document and promote what they read, while a third changes the trial document. Two nodes
 * receive versions from the platform, while it is up, and from each other, late and in any order. A node may restart;
 * it then adopts the highest version that the platform or the other node has.
 *
 *   operator   a read by the command show, then Registry.Promote and Registry.write
 *   adopt      the node's watch of the document, and kern.Control.apply
 *
 * Properties: production gets the trial document that the operator read, each version is written once, and no node goes
 *             back to an older version.
 *
 * Mutants: M_NOASSERT   the transaction does not check the version of the trial document
 *          M_NOVERSION  the transaction does not check the version of the production document
 *          M_ANYORDER   a node adopts any version that it receives
 */
#define OPERATORS 2

byte trialVersion = 1, trialDigest = 1;
byte productionVersion = 1, productionDigest = 1;
byte acceptedDigest[5];	/* digest of each production version, 0 if there is none */
byte versionInForce[2];	/* version in force at each node, 0 before the first */
byte highestVersion[2];	/* highest version that each node has had */
byte restarts = 0;
bool platformUp = true;
chan gossip[2] = [2] of { byte };

active proctype editor()
{
	atomic { trialVersion++; trialDigest = 2 }
}

active proctype outage()
{
	platformUp = false;
	platformUp = true
}

active [OPERATORS] proctype operator()
{
	byte seenTrialVersion, seenTrialDigest, seenProductionVersion;
	atomic {
		platformUp ->
		seenTrialVersion = trialVersion; seenTrialDigest = trialDigest; seenProductionVersion = productionVersion
	};
	atomic {
		platformUp ->
		if
		:: (
#ifdef M_NOASSERT
			true
#else
			trialVersion == seenTrialVersion
#endif
			&&
#ifdef M_NOVERSION
			true
#else
			productionVersion == seenProductionVersion
#endif
		   ) ->
			/* The promoted document is the current trial document, and its version follows the one that was read. */
			assert(seenTrialDigest == trialDigest);
			assert(acceptedDigest[seenProductionVersion + 1] == 0);
			productionVersion = seenProductionVersion + 1;
			productionDigest = seenTrialDigest;
			acceptedDigest[productionVersion] = seenTrialDigest
		:: else
		fi
	}
}

inline adopt(received)
{
	d_step {
		if
#ifdef M_ANYORDER
		:: received != 0 ->
#else
		:: received > versionInForce[self] ->
#endif
			versionInForce[self] = received;
			assert(versionInForce[self] >= highestVersion[self]);
			highestVersion[self] = received
		:: else
		fi
	}
}

proctype node(byte self)
{
	byte received, polls = 0;
	do
	:: polls < 2 && platformUp -> polls++; received = productionVersion; adopt(received);
		if
		:: nfull(gossip[1 - self]) -> gossip[1 - self]!received
		:: true
		fi
	:: gossip[self]?received -> adopt(received)
	:: d_step {
		restarts < 1 && versionInForce[1 - self] >= versionInForce[self] ->
		/* The other node's version is no older; the new incarnation adopts it. */
		restarts++; versionInForce[self] = 0; received = versionInForce[1 - self]
	   };
		adopt(received)
	:: polls >= 2 && empty(gossip[self]) -> break
	od
}

init {
	atomic { acceptedDigest[1] = 1; run node(0); run node(1) }
}
