------------------------------ MODULE Accepting ------------------------------
(* Acceptance of changes by conditional transactions: racing operators, lost  *)
(* and late responses, and controllers that record the share of a move under  *)
(* a lease. Each accepted write is one version of the head row.               *)
(*                                                                            *)
(* A request may take effect long after its sender has given up on it. Time   *)
(* is abstract: valid[c] says whether the lease is valid by c's own clock.    *)
EXTENDS Integers, Sequences, FiniteSets

CONSTANTS
    Operations,   \* subset of {"keep", "remove", "use"}, one submission each
    Controllers,  \* nodes that may hold the controller lease
    MaxShare,     \* steps of a complete move
    MaxEpoch,     \* acquisitions of the lease
    Broken        \* rules that are switched off; empty for the protocol itself

VARIABLES
    log,      \* accepted operations by section: [op, base]
    moves,    \* recorded shares: [share, writer, epoch]
    phase,    \* state of each submission
    base,     \* section revision that the operator edited
    flight,   \* writes of operators under way: [op, base, head]
    epoch,    \* epoch in the lease row
    term,     \* epoch that a controller believes to hold, 0 for none
    valid,    \* whether its lease is valid by its own clock
    plan      \* decided writes of controllers: [by, share, head, epoch]

operators == <<log, phase, base, flight>>
lease == <<epoch, term, valid>>
vars == <<operators, lease, moves, plan>>

Rule(name) == name \notin Broken
Sections == {"A", "B"}

\* Section A owns a service that "remove" takes away; "use" routes to it.
SectionOf(op) == IF op = "use" THEN "B" ELSE "A"
Last(s) == s[Len(s)].op
Provides(l) == l["A"] = <<>> \/ Last(l["A"]) # "remove"
Needs(l) == l["B"] # <<>>
Resolves(l) == Needs(l) => Provides(l)

Revision(op) == Len(log[SectionOf(op)])
HeadVersion == Len(log["A"]) + Len(log["B"]) + Len(moves)
Accepted(op) == \E i \in 1..Revision(op) : log[SectionOf(op)][i].op = op
With(op, b) == [log EXCEPT ![SectionOf(op)] = Append(@, [op |-> op, base |-> b])]
Share == IF moves = <<>> THEN 0 ELSE moves[Len(moves)].share

Init ==
    /\ log = [s \in Sections |-> <<>>] /\ moves = <<>>
    /\ phase = [o \in Operations |-> "editing"]
    /\ base = [o \in Operations |-> 0]
    /\ flight = {} /\ plan = {}
    /\ epoch = 0
    /\ term = [c \in Controllers |-> 0]
    /\ valid = [c \in Controllers |-> FALSE]

----------------------------------------------------------------------------
(* Submissions *)

Become(o, p) == phase' = [phase EXCEPT ![o] = p]

Edit(o) ==
    /\ phase[o] = "editing"
    /\ base' = [base EXCEPT ![o] = Revision(o)]
    /\ Become(o, "checking")
    /\ UNCHANGED <<log, flight, lease, moves, plan>>

\* What the section row says: the answer, or to go on with the candidate.
Outcome(o) ==
    IF Rule("ReadBackBeforeRetry") /\ Accepted(o) THEN "accepted"
    ELSE IF Rule("ReadBackBeforeRetry") /\ Revision(o) # base[o] THEN "conflict"
    ELSE "candidate"

\* A blind retry takes the current revision as its base.
BaseOf(o) == IF Rule("ReadBackBeforeRetry") THEN base[o] ELSE Revision(o)

\* What the head says about the candidate: it is sent or refused.
Send(o, b) ==
    /\ base' = [base EXCEPT ![o] = b]
    /\ IF Resolves(With(o, b))
        THEN /\ flight' = flight \cup {[op |-> o, base |-> b, head |-> HeadVersion]}
             /\ Become(o, "sent")
        ELSE Become(o, "refused") /\ UNCHANGED flight

\* Serves the first attempt and reading back after a lost response. The
\* section row and the head come from one consistent view.
Check(o) ==
    /\ Rule("OneView") /\ phase[o] = "checking"
    /\ IF Outcome(o) = "candidate"
        THEN Send(o, BaseOf(o))
        ELSE Become(o, Outcome(o)) /\ UNCHANGED <<base, flight>>
    /\ UNCHANGED <<log, lease, moves, plan>>

\* Without that rule the head is read later than the section row.
CheckInTwoReads(o) ==
    /\ ~Rule("OneView")
    /\ \/ phase[o] = "checking" /\ Become(o, Outcome(o)) /\ UNCHANGED <<base, flight>>
       \/ phase[o] = "candidate" /\ Send(o, base[o])
    /\ UNCHANGED <<log, lease, moves, plan>>

\* The write reaches the table; its response arrives or is lost. In one view
\* the condition on the head implies the one on the section, since every accepted
\* section writes the head; without either, racing operators overwrite each other.
Land(r) ==
    LET holds == /\ Rule("SectionCondition") => Revision(r.op) = r.base
                 /\ Rule("HeadCondition") => HeadVersion = r.head
    IN  /\ flight' = flight \ {r}
        /\ log' = IF holds THEN With(r.op, r.base) ELSE log
        /\ \/ UNCHANGED phase
           \/ phase[r.op] = "sent" /\ Become(r.op, IF holds THEN "accepted" ELSE "checking")
        /\ UNCHANGED <<base, lease, moves, plan>>

\* A lost response says nothing about the write.
Timeout(o) ==
    /\ phase[o] = "sent"
    /\ Become(o, IF Rule("LostIsUnknown") THEN "checking" ELSE "conflict")
    /\ UNCHANGED <<log, base, flight, lease, moves, plan>>

----------------------------------------------------------------------------
(* Controllers *)

Acquire(c) ==
    /\ epoch < MaxEpoch /\ term[c] = 0
    /\ \A d \in Controllers \ {c} : ~valid[d]
    /\ epoch' = epoch + 1
    /\ term' = [term EXCEPT ![c] = epoch + 1]
    /\ valid' = [valid EXCEPT ![c] = TRUE]
    /\ UNCHANGED <<operators, moves, plan>>

Expire(c) ==
    /\ valid[c]
    /\ valid' = [valid EXCEPT ![c] = FALSE]
    /\ UNCHANGED <<operators, epoch, term, moves, plan>>

GiveUp(c) ==
    /\ term[c] > 0 /\ ~valid[c]
    /\ term' = [term EXCEPT ![c] = 0]
    /\ UNCHANGED <<operators, epoch, valid, moves, plan>>

\* The next share, or -1 to take the move back. The controller may be paused
\* before the write is sent, or decide again while an earlier write is late.
Decide(c) ==
    LET from == IF Rule("ResumeFromDurable") THEN Share ELSE 0
    IN  /\ valid[c] /\ Cardinality(plan) < 2
        /\ from # -1
        /\ \E next \in {from + 1, -1} :
            /\ next <= MaxShare
            /\ plan' = plan \cup {[by |-> c, share |-> next, head |-> HeadVersion, epoch |-> term[c]]}
        /\ UNCHANGED <<operators, lease, moves>>

Record(p) ==
    LET holds == /\ Rule("Fence") => epoch = p.epoch
                 /\ Rule("HeadCondition") => HeadVersion = p.head
    IN  /\ plan' = plan \ {p}
        /\ moves' = IF holds
            THEN Append(moves, [share |-> p.share, writer |-> p.epoch, epoch |-> epoch])
            ELSE moves
        /\ Len(moves') <= MaxShare + 1
        /\ UNCHANGED <<operators, lease>>

----------------------------------------------------------------------------
Next ==
    \/ \E o \in Operations : Edit(o) \/ Check(o) \/ CheckInTwoReads(o) \/ Timeout(o)
    \/ \E r \in flight : Land(r)
    \/ \E c \in Controllers : Acquire(c) \/ Expire(c) \/ GiveUp(c) \/ Decide(c)
    \/ \E p \in plan : Record(p)

\* The platform works in the end and every daemon goes on.
Fairness ==
    /\ \A o \in Operations :
        /\ WF_vars(Edit(o)) /\ WF_vars(Timeout(o))
        /\ WF_vars(Check(o) \/ CheckInTwoReads(o))
    /\ WF_vars(\E r \in flight : Land(r))

Spec == Init /\ [][Next]_vars /\ Fairness

----------------------------------------------------------------------------
(* Requirements *)

\* No accepted change is overwritten by one that was based on an older revision.
NoLostUpdate == \A s \in Sections : \A i \in 1..Len(log[s]) : log[s][i].base = i - 1

\* No submission takes effect twice.
OnceEach == \A s \in Sections : \A i, j \in 1..Len(log[s]) :
    log[s][i].op = log[s][j].op => i = j

\* R2: every reference in an accepted version resolves.
Closed == Resolves(log)

\* What an operator is told is and stays accurate.
Truthful == \A o \in Operations :
    /\ phase[o] = "accepted" => Accepted(o)
    /\ phase[o] \in {"conflict", "refused"} => ~Accepted(o)

\* A holder that was paused past its lease writes nothing.
Fenced == \A i \in 1..Len(moves) : moves[i].writer = moves[i].epoch

\* A handover neither skips nor repeats a share, and a take-back is final.
ShareSteps == \A i \in 1..Len(moves) :
    LET before == IF i = 1 THEN 0 ELSE moves[i - 1].share
    IN  before # -1 /\ moves[i].share \in {before + 1, -1}

\* Every submission is answered once the platform works.
Answered == \A o \in Operations : <>(phase[o] \in {"accepted", "conflict", "refused"})
=============================================================================
