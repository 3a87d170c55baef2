---------------------------- MODULE Distributing ----------------------------
(* Distribution of accepted versions inside one availability zone: relay     *)
(* lease, fan-out, apply, restart without local state, paused relay. How     *)
(* versions are accepted is the subject of module Accepting.                 *)
(*                                                                           *)
(* Time is abstract. valid[n] says whether the lease is valid by n's own     *)
(* clock at this moment; a takeover is possible only when no other node's    *)
(* clock says so. A pause is the time between two steps of one node. An      *)
(* outage of the platform is a period without a platform step; every finite  *)
(* outage is among the behaviours. A delayed or lost response is a step that *)
(* is taken late or not at all.                                              *)
EXTENDS Integers

CONSTANTS
    Nodes,       \* nodes of the zone; each may become relay
    MaxVersion,  \* versions to accept
    MaxFaults,   \* restarts and lease expiries in total
    Broken       \* rules that are switched off; empty for the protocol itself

VARIABLES
    head,      \* version in the head row
    faults,    \* faults so far
    epoch,     \* epoch in the relay's lease row
    term,      \* epoch that a node believes to hold, 0 for none
    valid,     \* whether its lease is valid by its own clock
    floor,     \* head read with the lease row in this term, -1 before
    taken,     \* version that a relay decided to use, 0 when there is none
    applied,   \* version in force
    content,   \* versions whose changes are in force
    required,  \* version to reach before ready, -1 when unknown
    highest    \* highest version ever in force, over all incarnations

platform == <<head, faults, epoch>>
relay == <<term, valid, floor, taken>>
node == <<applied, content, highest, required>>
vars == <<platform, relay, node>>

Rule(name) == name \notin Broken
Max(a, b) == IF a > b THEN a ELSE b

\* A node routes callers' calls.
Ready(n) == Rule("ProofBeforeCalls") => required[n] # -1 /\ applied[n] >= required[n]

\* 0 stands for every requirement that is met, which keeps the model small.
Unmet(r, v) == IF r # -1 /\ v >= r THEN 0 ELSE r

Init ==
    /\ head = 0 /\ faults = 0 /\ epoch = 0
    /\ term = [n \in Nodes |-> 0]
    /\ valid = [n \in Nodes |-> FALSE]
    /\ floor = [n \in Nodes |-> -1]
    /\ taken = [n \in Nodes |-> 0]
    /\ applied = [n \in Nodes |-> 0]
    /\ content = [n \in Nodes |-> {}]
    /\ required = [n \in Nodes |-> -1]
    /\ highest = [n \in Nodes |-> 0]

Accept ==
    /\ head < MaxVersion
    /\ head' = head + 1
    /\ UNCHANGED <<faults, epoch, relay, node>>

----------------------------------------------------------------------------
(* Relay *)

Acquire(n) ==
    /\ term[n] = 0
    /\ Rule("TakeoverAfterExpiry") => \A m \in Nodes \ {n} : ~valid[m]
    /\ epoch' = epoch + 1
    /\ term' = [term EXCEPT ![n] = epoch + 1]
    /\ valid' = [valid EXCEPT ![n] = TRUE]
    /\ UNCHANGED <<head, faults, floor, taken, node>>

\* The holder notices that its lease has lapsed.
GiveUp(n) ==
    /\ term[n] > 0 /\ ~valid[n]
    /\ term' = [term EXCEPT ![n] = 0]
    /\ floor' = [floor EXCEPT ![n] = -1]
    /\ UNCHANGED <<platform, valid, taken, node>>

\* The head and the lease row come from one consistent view.
ReadHead(n) ==
    /\ term[n] > 0
    /\ Rule("EpochOnRead") => epoch = term[n]
    /\ floor' = [floor EXCEPT ![n] = IF @ = -1 THEN head ELSE @]
    /\ taken' = [taken EXCEPT ![n] = IF head > applied[n] THEN head ELSE @]
    /\ <<floor, taken>>' # <<floor, taken>>
    /\ UNCHANGED <<platform, term, valid, node>>

\* A gateway may have sent the update long ago, so any accepted version comes.
\* The relay reads its clock after the receipt.
GatewayUpdate(n) ==
    /\ term[n] > 0
    /\ Rule("LeaseOnReceipt") => valid[n]
    /\ \E v \in (Max(taken[n], applied[n]) + 1)..head :
        taken' = [taken EXCEPT ![n] = v]
    /\ UNCHANGED <<platform, term, valid, floor, node>>

Enforce(n, v, c) ==
    /\ applied' = [applied EXCEPT ![n] = v]
    /\ content' = [content EXCEPT ![n] = c]
    /\ highest' = [highest EXCEPT ![n] = Max(@, v)]
    /\ required' = [required EXCEPT ![n] = Unmet(@, v)]

\* The relay may have been paused since it decided to use the version.
Use(n) ==
    /\ taken[n] > 0
    /\ taken' = [taken EXCEPT ![n] = 0]
    /\ IF taken[n] > applied[n]
        THEN Enforce(n, taken[n], 1..taken[n])
        ELSE UNCHANGED node
    /\ UNCHANGED <<platform, term, valid, floor>>

----------------------------------------------------------------------------
(* Tree: any node may be a parent and sends versions that it has in force.   *)
(* Updates are lost, repeated or overtaken.                                  *)

ApplyDelta(p, n) ==
    \E v \in 1..applied[p] : \E base \in 0..(v - 1) :
        /\ Rule("NewerOnly") => v > applied[n]
        /\ Rule("SameBase") => base = applied[n]
        /\ Enforce(n, v, (content[n] \cap 1..v) \cup (base + 1)..v)
        /\ UNCHANGED <<platform, relay>>

\* After a gap a node asks for full state.
ApplyFull(p, n) ==
    \E v \in 1..applied[p] :
        /\ Rule("NewerOnly") => v > applied[n]
        /\ Enforce(n, v, 1..v)
        /\ UNCHANGED <<platform, relay>>

\* A delta that fits comes for certain only if the child missed none before.
ReceiveLatest(p, n) ==
    /\ applied[p] > applied[n]
    /\ Rule("FullAfterGap") \/ applied[p] = applied[n] + 1
    /\ Enforce(n, applied[p], 1..applied[p])
    /\ UNCHANGED <<platform, relay>>

----------------------------------------------------------------------------
(* Start without local state *)

Require(n, v) ==
    /\ required[n] = -1
    /\ required' = [required EXCEPT ![n] = Unmet(v, applied[n])]
    /\ UNCHANGED <<platform, relay, applied, content, highest>>

ReadForStart(n) == Require(n, head)

\* The first contact of n with the relay r.
Vouch(r, n) ==
    /\ term[r] > 0
    /\ Rule("LeaseAtFirstContact") => valid[r]
    /\ Rule("HeadAtTermStart") => floor[r] # -1 /\ applied[r] >= floor[r]
    /\ Require(n, applied[r])

----------------------------------------------------------------------------
(* Faults *)

Fault ==
    /\ faults < MaxFaults
    /\ faults' = faults + 1

\* The process restarts; its connections and their messages are gone.
Restart(n) ==
    /\ Fault
    /\ term' = [term EXCEPT ![n] = 0]
    /\ valid' = [valid EXCEPT ![n] = FALSE]
    /\ floor' = [floor EXCEPT ![n] = -1]
    /\ taken' = [taken EXCEPT ![n] = 0]
    /\ applied' = [applied EXCEPT ![n] = 0]
    /\ content' = [content EXCEPT ![n] = {}]
    /\ required' = [required EXCEPT ![n] = -1]
    /\ UNCHANGED <<head, epoch, highest>>

\* The holder was paused or could not renew.
Expire(n) ==
    /\ Fault /\ valid[n]
    /\ valid' = [valid EXCEPT ![n] = FALSE]
    /\ UNCHANGED <<head, epoch, term, floor, taken, node>>

----------------------------------------------------------------------------
Next ==
    \/ Accept
    \/ \E n \in Nodes :
        \/ Acquire(n) \/ GiveUp(n) \/ ReadHead(n) \/ GatewayUpdate(n) \/ Use(n)
        \/ ReadForStart(n) \/ Restart(n) \/ Expire(n)
        \/ \E p \in Nodes \ {n} :
            \/ ApplyDelta(p, n)
            \/ Rule("FullAfterGap") /\ ApplyFull(p, n)
            \/ Vouch(p, n)

\* What stays possible happens in the end, except faults, acceptance, the
\* gateway's push and the relay's vouching.
Fairness ==
    \A n \in Nodes :
        /\ WF_vars(Acquire(n)) /\ WF_vars(GiveUp(n)) /\ WF_vars(ReadHead(n))
        /\ WF_vars(Use(n)) /\ WF_vars(ReadForStart(n))
        /\ \A p \in Nodes \ {n} : WF_vars(ReceiveLatest(p, n))

Spec == Init /\ [][Next]_vars /\ Fairness

----------------------------------------------------------------------------
(* Requirements *)

\* R1 and R10: a node that routes calls never returns to an older version.
NeverBack == \A n \in Nodes : Ready(n) => applied[n] >= highest[n]

\* R3: nothing is in force in part.
Whole == \A n \in Nodes : content[n] = 1..applied[n]

\* No node is ahead of what was accepted.
OnlyAccepted == \A n \in Nodes : applied[n] <= head

\* R10: an accepted version ends in force everywhere once faults stop.
EndsInForce == <>[](\A n \in Nodes : Ready(n) /\ applied[n] = head)
=============================================================================
