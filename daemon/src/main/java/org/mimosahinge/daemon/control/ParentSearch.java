package org.mimosahinge.daemon.control;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.mimosahinge.api.error.CompletionFailures;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.platform.ReadResult;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.core.fanout.Attachment;
import org.mimosahinge.core.fanout.ReconnectBackoff;
import org.mimosahinge.core.fanout.TreePlacement;
import org.mimosahinge.net.log.EventLog;

/** Finds a parent for a node that has none, or acquires a role that makes the node a parent itself. */
final class ParentSearch {

    private static final EventLog LOG = EventLog.of("fanout");

    private static final Duration DIAL_TIMEOUT = Duration.ofSeconds(1);

    /** How long a candidate is skipped after a failed attempt to connect. */
    private static final Duration UNREACHABLE_BACKOFF = Duration.ofSeconds(5);

    private static final Duration TAKEOVER_JITTER = Duration.ofMillis(200);

    private final NodeContext context;
    private final TreePlacement placement;
    private final LeaseManager relayLease;
    private final LeaseManager gatewayLease;
    private final Consumer<DialAttempt> dialer;
    private final LongConsumer onHeadRead;

    private final Map<NodeId, Long> unreachableUntil = new HashMap<>();
    private ReadResult lastRead;
    private DialAttempt pendingDial;
    private boolean reading;
    private int attempts;
    private int heldRolesAtLastAttempt;
    private long nextAttemptNanos;

    /** An attempt to connect to a candidate. */
    static final class DialAttempt {
        private final Node candidate;
        private Channel channel;

        DialAttempt(Node candidate) {
            this.candidate = candidate;
        }

        Node candidate() {
            return candidate;
        }

        Duration timeout() {
            return DIAL_TIMEOUT;
        }

        void started(Channel opened) {
            channel = opened;
        }
    }

    ParentSearch(
            NodeContext context,
            TreePlacement placement,
            LeaseManager relayLease,
            LeaseManager gatewayLease,
            Consumer<DialAttempt> dialer,
            LongConsumer onHeadRead) {
        this.context = context;
        this.placement = placement;
        this.relayLease = relayLease;
        this.gatewayLease = gatewayLease;
        this.dialer = dialer;
        this.onHeadRead = onHeadRead;
    }

    /** Starts the next attempt if it is time; called while the node has no parent. */
    void advance() {
        long nowNanos = context.nowNanos();
        // A newly acquired role changes where this node connects, so it ends the backoff.
        boolean roleAcquired = heldRoleCount() > heldRolesAtLastAttempt;
        if (reading || pendingDial != null || (nowNanos - nextAttemptNanos < 0 && !roleAcquired)) {
            return;
        }
        reading = true;
        heldRolesAtLastAttempt = heldRoleCount();
        ReadRequest request = new ReadRequest(
                List.of(
                        RowCodec.HEAD_KEY,
                        RowCodec.relayLeaseKey(context.self().zone()),
                        RowCodec.gatewayLeaseKey(context.settings().region()),
                        RowCodec.gatewayLeaseKey(context.settings().storeRegion())),
                List.of(RowCodec.nodeKeyPrefix(context.self().zone())));
        context.table().read(request).whenCompleteAsync(this::rosterRead, context.control());
    }

    /** Resets the search after the connection to a candidate has opened. */
    void connected() {
        pendingDial = null;
        attempts = 0;
    }

    /** Skips a candidate for some time if the closed channel was the attempt to connect to it. */
    void channelClosed(Channel channel) {
        if (pendingDial != null && pendingDial.channel == channel) {
            LOG.info("parent_unreachable", "candidate", pendingDial.candidate.id());
            long until = context.nowNanos() + UNREACHABLE_BACKOFF.toNanos();
            unreachableUntil.put(pendingDial.candidate.id(), until);
            pendingDial = null;
            retryLater();
        }
    }

    /** Restarts the search after the connection to the parent has closed. */
    void parentLost(NodeId lostParent) {
        pendingDial = null;
        attempts = 0;
        unreachableUntil.put(
                lostParent, context.nowNanos() + Duration.ofSeconds(1).toNanos());
        retryLater();
    }

    private void rosterRead(ReadResult read, Throwable failure) {
        reading = false;
        if (failure != null) {
            LOG.warn("roster_read_failed", "error", CompletionFailures.errorCode(failure));
            retryLater();
            if (lastRead != null) {
                // While the platform is unavailable, the last roster read can still lead to a parent.
                chooseParent(lastRead);
            }
            return;
        }
        lastRead = read;
        onHeadRead.accept(RowCodec.head(read).value().version());
        relayLease.observe(read);
        gatewayLease.observe(read);
        chooseParent(read);
    }

    private void chooseParent(ReadResult read) {
        Attachment.View view = new Attachment.View(
                context.self(),
                relayLease.held().isPresent(),
                gatewayLease.held().isPresent(),
                context.settings().region().equals(context.settings().storeRegion()),
                RowCodec.lease(read, relayLease.key()).value().holder(),
                RowCodec.lease(read, gatewayLease.key()).value().holder(),
                RowCodec.lease(read, RowCodec.gatewayLeaseKey(context.settings().storeRegion()))
                        .value()
                        .holder(),
                RowCodec.roster(read, context.self().zone()));
        Attachment decision = Attachment.decide(view, placement);
        if (decision instanceof Attachment.Parents parents) {
            dialFirst(reachable(parents.candidates()));
        } else if (!(decision instanceof Attachment.Root)) {
            tryAcquireRole();
        }
    }

    private void dialFirst(List<Node> candidates) {
        if (candidates.isEmpty()) {
            tryAcquireRole();
            return;
        }
        pendingDial = new DialAttempt(candidates.get(0));
        LOG.info("parent_chosen", "parent", pendingDial.candidate.id(), "candidates", candidates.size());
        dialer.accept(pendingDial);
    }

    /** Tries to acquire the role whose holder this node cannot reach, once its lease has expired. */
    private void tryAcquireRole() {
        long leaseFreeNanos = context.nowNanos();
        if (relayLease.held().isEmpty()) {
            leaseFreeNanos = relayLease.advance();
        } else if (gatewayLease.held().isEmpty()) {
            leaseFreeNanos = gatewayLease.advance();
        }
        retryLater();
        if (leaseFreeNanos - context.nowNanos() > 0) {
            // Waiting for the backoff after the lease has expired would add up to 1.6 s to a takeover.
            long takeoverNanos = leaseFreeNanos + takeoverJitterNanos();
            nextAttemptNanos = nextAttemptNanos - takeoverNanos > 0 ? takeoverNanos : nextAttemptNanos;
        }
    }

    private int heldRoleCount() {
        return (relayLease.held().isPresent() ? 1 : 0) + (gatewayLease.held().isPresent() ? 1 : 0);
    }

    /** Spreads the attempts of a zone's nodes, so that most of them see the first one's write. */
    private static long takeoverJitterNanos() {
        return ThreadLocalRandom.current().nextLong(TAKEOVER_JITTER.toNanos());
    }

    private List<Node> reachable(List<Node> candidates) {
        long nowNanos = context.nowNanos();
        unreachableUntil.values().removeIf(until -> nowNanos - until >= 0);
        List<Node> reachable = new ArrayList<>(candidates);
        reachable.removeIf(candidate -> unreachableUntil.containsKey(candidate.id()));
        return reachable;
    }

    private void retryLater() {
        long delayMs = ReconnectBackoff.DEFAULT.delayMs(
                attempts, () -> ThreadLocalRandom.current().nextDouble());
        attempts = Math.min(attempts + 1, 3);
        nextAttemptNanos = context.nowNanos() + Duration.ofMillis(delayMs).toNanos();
    }
}
