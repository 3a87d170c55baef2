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

/** Stops this node's calls to a new version on the basis of this node's own call outcomes. */
final class VersionCircuitBreakers {

    private static final EventLog LOG = EventLog.of("move");
    private static final int FULL_PERMILLE = 1000;

    private final Membership membership;
    private final Map<HaltMark, LocalMove> moves = new HashMap<>();

    /** This node's state of one move. */
    private record LocalMove(MoveState state, Observation observation, int limitPermille) {}

    VersionCircuitBreakers(Membership membership) {
        this.membership = membership;
    }

    /** Analyzes this node's own calls of the last period and trips circuit breakers. */
    void advance(Map<String, MoveState> states, Map<String, CallOutcomes> localOutcomes, Instant now) {
        moves.values()
                .removeIf(move -> !isMonitored(states.get(move.state().service()))
                        || states.get(move.state().service()).sectionRevision()
                                != move.state().sectionRevision());
        states.values().stream().filter(VersionCircuitBreakers::isMonitored).forEach(state -> {
            HaltMark mark = MoveConditions.haltMark(state);
            LocalMove before =
                    moves.getOrDefault(mark, new LocalMove(state, Observation.startingAt(state, now), FULL_PERMILLE));
            moves.put(
                    mark, analyze(before, state, localOutcomes.getOrDefault(state.service(), CallOutcomes.EMPTY), now));
        });
    }

    private LocalMove analyze(LocalMove before, MoveState state, CallOutcomes outcomes, Instant now) {
        Observation continued = before.state().sharePermille() == state.sharePermille()
                ? before.observation()
                : before.observation().nextStep(before.state(), state);
        Observation observation = continued.plus(now, outcomes);
        VersionCircuitBreaker.BreakerDecision decision =
                VersionCircuitBreaker.decide(before.limitPermille(), state, observation);
        if (decision.limitPermille() < before.limitPermille()) {
            LOG.warn("share_cut", "service", state.service(), "version", state.to(), "findings", decision.findings());
            membership.haltLocally(MoveConditions.haltMark(state));
        }
        decision.haltMark().ifPresent(membership::halt);
        return new LocalMove(state, observation, decision.limitPermille());
    }

    private static boolean isMonitored(MoveState state) {
        return state != null && (state.phase() == MovePhase.RUNNING || state.phase() == MovePhase.DONE);
    }
}
