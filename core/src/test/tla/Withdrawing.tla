---------------------------- MODULE Withdrawing ----------------------------
(* Strict withdrawal of API keys: every version withdraws a key of the one    *)
(* before it. Nodes use the keys of the version that they know only with a    *)
(* proof that it was the newest one recently, dated by the platform's clock.  *)
(*                                                                            *)
(* A pause is the time between two steps of one node, so a node that wakes    *)
(* may have messages and calls in its buffers from any time of the pause. The *)
(* drift and the rounding of clocks are left out, RevocationPolicyTest covers *)
(* them; so are rows that cannot be decoded and a steady clock that stops.    *)
EXTENDS Integers

CONSTANTS
    Nodes,       \* nodes that read the store and pass on what they know
    Serving,     \* those of them that serve calls
    Behind,      \* nodes whose clock is one unit behind that of the platform
    MaxVersion,  \* versions to accept
    MaxTime,     \* end of the run on the platform's clock
    Bound,       \* time after which a withdrawn key must not be used
    Broken       \* rules that are switched off; empty for the protocol itself

VARIABLES
    now,       \* the platform's clock
    acked,     \* time at which each version was acknowledged, -1 before
    applied,   \* version in force, -1 before the first
    fresh,     \* platform's clock up to which all rows have arrived, -1 before
    lead,      \* least time by which the node's clock is ahead of the platform's
    proof,     \* newest proof: [version, read, since], version -1 before the first
    passed,    \* statement of a neighbour on its way: [version, read], version -1 for none
    call,      \* version by which a call of a traffic thread is decided, -1 for none
    permitted  \* permission of the last tick; used only without AgeAtEachCall

platform == <<now, acked>>
control == <<applied, fresh, lead, proof, passed>>
traffic == <<call, permitted>>
vars == <<platform, control, traffic>>

Rule(name) == name \notin Broken
Max(a, b) == IF a > b THEN a ELSE b

Versions == 0..MaxVersion
Accepted(v) == acked[v] # -1
Clock(n) == IF n \in Behind THEN now - 1 ELSE now
NoProof == [version |-> -1, read |-> -1, since |-> -1]
NoStatement == [version |-> -1, read |-> -1]

\* Below every difference that a node can measure.
UnknownLead == -(MaxTime + 2)

Init ==
    /\ now = 0
    /\ acked = [v \in Versions |-> IF v = 0 THEN 0 ELSE -1]
    /\ applied = [n \in Nodes |-> -1]
    /\ fresh = [n \in Nodes |-> -1]
    /\ lead = [n \in Nodes |-> UnknownLead]
    /\ proof = [n \in Nodes |-> NoProof]
    /\ passed = [n \in Nodes |-> NoStatement]
    /\ call = [n \in Nodes |-> -1]
    /\ permitted = [n \in Nodes |-> FALSE]

----------------------------------------------------------------------------
(* Store *)

TimePasses ==
    /\ now < MaxTime
    /\ now' = now + 1
    /\ UNCHANGED <<acked, control, traffic>>

\* An acknowledgement that comes later than the write only leaves more time.
Accept ==
    /\ \E v \in 1..MaxVersion :
        /\ ~Accepted(v) /\ Accepted(v - 1)
        /\ acked' = [acked EXCEPT ![v] = now]
    /\ UNCHANGED <<now, control, traffic>>

\* Versions that a read at this time can show. A version and a read within one
\* unit of time come in either order.
Shown(time) == {v \in Versions :
    /\ Accepted(v) /\ acked[v] <= time
    /\ v < MaxVersion /\ Accepted(v + 1) => acked[v + 1] >= time}

----------------------------------------------------------------------------
(* Control thread *)

\* All rows up to version v and to the platform's time read have arrived.
Learn(n, v, read, bound) ==
    LET newest == Max(fresh[n], read)
        since == IF Rule("DatedByPlatformClock") THEN newest + bound ELSE Clock(n)
        dated == bound # UnknownLead \/ ~Rule("KnownLead")
    IN  /\ applied' = [applied EXCEPT ![n] = v]
        /\ fresh' = [fresh EXCEPT ![n] = newest]
        /\ lead' = IF n \in Serving THEN [lead EXCEPT ![n] = bound] ELSE lead
        /\ proof' = IF n \in Serving /\ newest > proof[n].read /\ dated
            THEN [proof EXCEPT ![n] = [version |-> v, read |-> newest,
                    since |-> IF bound = UnknownLead THEN newest ELSE since]]
            ELSE proof

\* A response to a request of this node. It waited for any time on its way and
\* in the node's buffers; one that is lost is never received. One that tells
\* nothing new changes nothing.
ReceiveResponse(n) ==
    /\ \E read \in 0..now : \E sent \in (IF n \in Serving THEN 0..read ELSE {read}) :
        LET sentByOwnClock == Clock(n) - (now - sent)
            measured == (IF Rule("LeadFromSending") THEN sentByOwnClock ELSE Clock(n)) - read
        IN  \E v \in Shown(read) :
            /\ read > fresh[n] \/ v > applied[n] \/ (n \in Serving /\ measured > lead[n])
            /\ Learn(n, Max(applied[n], v), read, Max(lead[n], measured))
    /\ UNCHANGED <<platform, passed, traffic>>

\* A row comes alone from any node that has it, which may have sent it long ago.
ReceiveRow(n) ==
    /\ \E v \in Versions :
        /\ v > applied[n] /\ Accepted(v)
        /\ applied' = [applied EXCEPT ![n] = v]
    /\ UNCHANGED <<platform, fresh, lead, proof, passed, traffic>>

\* A later statement takes the place of one that was lost.
PassOn(m, n) ==
    /\ fresh[m] # -1 /\ n \in Serving
    /\ passed' = [passed EXCEPT ![n] = [version |-> applied[m], read |-> fresh[m]]]
    /\ UNCHANGED <<platform, applied, fresh, lead, proof, traffic>>

\* A statement about rows that this node lacks says nothing about its own.
ReceiveStatement(n) ==
    /\ passed[n].version # -1
    /\ passed[n].read > fresh[n]
    /\ Rule("RowsBeforeStatement") => passed[n].version <= applied[n]
    /\ Learn(n, applied[n], passed[n].read, lead[n])
    /\ passed' = [passed EXCEPT ![n] = NoStatement]
    /\ UNCHANGED <<platform, traffic>>

\* The process restarts without local state; its connections are gone.
Restart(n) ==
    /\ applied' = [applied EXCEPT ![n] = -1]
    /\ fresh' = [fresh EXCEPT ![n] = -1]
    /\ lead' = [lead EXCEPT ![n] = UnknownLead]
    /\ proof' = [proof EXCEPT ![n] = NoProof]
    /\ passed' = [passed EXCEPT ![n] = NoStatement]
    /\ call' = [call EXCEPT ![n] = -1]
    /\ permitted' = [permitted EXCEPT ![n] = FALSE]
    /\ UNCHANGED platform

----------------------------------------------------------------------------
(* Traffic thread *)

\* The snapshot is read once for each call. A pause may follow.
ReadSnapshot(n) ==
    /\ n \in Serving /\ call[n] # applied[n]
    /\ call' = [call EXCEPT ![n] = applied[n]]
    /\ UNCHANGED <<platform, control, permitted>>

Recent(n) == Clock(n) - proof[n].since <= Bound

Tick(n) ==
    /\ ~Rule("AgeAtEachCall") /\ n \in Serving
    /\ permitted' = [permitted EXCEPT ![n] = Recent(n)]
    /\ UNCHANGED <<platform, control, call>>

\* The guard's answer for the call, if it is asked now.
Allowed(n) ==
    /\ call[n] # -1
    /\ IF proof[n].version = -1
        THEN ~Rule("ProofBeforeKeys")
        ELSE /\ IF Rule("AgeAtEachCall") THEN Recent(n) ELSE permitted[n]
             /\ Rule("ProofNamesVersion") => call[n] >= proof[n].version

----------------------------------------------------------------------------
Next ==
    \/ TimePasses \/ Accept
    \/ \E n \in Nodes :
        \/ ReceiveResponse(n) \/ ReceiveRow(n) \/ ReceiveStatement(n) \/ Restart(n)
        \/ ReadSnapshot(n) \/ Tick(n)
        \/ \E m \in Nodes \ {n} : PassOn(m, n)

Spec == Init /\ [][Next]_vars

----------------------------------------------------------------------------
(* Requirements *)

\* No call is allowed by a key later than the bound after the acknowledgement
\* of the version that withdrew it. A call that is allowed was sent before.
EndsInTime == \A n \in Nodes :
    Allowed(n) /\ call[n] < MaxVersion /\ Accepted(call[n] + 1)
        => now <= acked[call[n] + 1] + Bound

\* A node counts as up to date only with all rows up to that time.
RowsArrived == \A n \in Nodes : \A v \in 1..MaxVersion :
    Accepted(v) /\ acked[v] < fresh[n] => v <= applied[n]
=============================================================================
