package org.mimosahinge.daemon.control;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.core.move.CallOutcomes;
import org.mimosahinge.core.move.MoveConditions;
import org.mimosahinge.core.move.Observation;
import org.mimosahinge.core.move.VersionCircuitBreaker;
import org.mimosahinge.net.log.EventLog;

/** Cuts this node's calls to a new version on the node's own evidence. */
final class MoveBrakes {

    private static final EventLog LOG = EventLog.of("move");
    private static final int FULL_PERMILLE = 1000;

    private final Membership membership;
    private final Map<HaltMark, Local> moves = new HashMap<>();

    /** What this node has seen of one move. */
    private record Local(MoveState state, Observation observation, int limitPermille) {}

    MoveBrakes(Membership membership) {
        this.membership = membership;
    }

    /** Judges the node's own calls of the last period. */
    void observe(Map<String, MoveState> states, Map<String, CallOutcomes> own, Instant now) {
        moves.values()
                .removeIf(local -> !isWatched(states.get(local.state().service()))
                        || states.get(local.state().service()).sectionRevision()
                                != local.state().sectionRevision());
        states.values().stream().filter(MoveBrakes::isWatched).forEach(state -> {
            HaltMark mark = MoveConditions.haltMark(state);
            Local before =
                    moves.getOrDefault(mark, new Local(state, Observation.startingAt(state, now), FULL_PERMILLE));
            moves.put(mark, judge(before, state, own.getOrDefault(state.service(), CallOutcomes.EMPTY), now));
        });
    }

    private Local judge(Local before, MoveState state, CallOutcomes evidence, Instant now) {
        Observation continued = before.state().sharePermille() == state.sharePermille()
                ? before.observation()
                : before.observation().nextStep(before.state(), state);
        Observation observation = continued.plus(now, evidence);
        VersionCircuitBreaker.BreakerDecision decision =
                VersionCircuitBreaker.decide(before.limitPermille(), state, observation);
        if (decision.limitPermille() < before.limitPermille()) {
            LOG.warn("share_cut", "service", state.service(), "version", state.to(), "findings", decision.findings());
            membership.cutLocally(MoveConditions.haltMark(state));
        }
        decision.haltMark().ifPresent(membership::halt);
        return new Local(state, observation, decision.limitPermille());
    }

    private static boolean isWatched(MoveState state) {
        return state != null && (state.phase() == MovePhase.RUNNING || state.phase() == MovePhase.DONE);
    }
}
