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

/** Finds a parent for a node that has none, or a role that makes it one. */
final class ParentSearch {

    private static final EventLog LOG = EventLog.of("fanout");

    private static final Duration DIAL_TIMEOUT = Duration.ofSeconds(1);

    /** A candidate that could not be reached is passed over for this long. */
    private static final Duration UNREACHABLE_TIME = Duration.ofSeconds(5);

    private static final Duration TAKEOVER_SPREAD = Duration.ofMillis(200);

    private final NodeContext context;
    private final TreePlacement placement;
    private final LeaseKeeper relay;
    private final LeaseKeeper gateway;
    private final Consumer<Dial> dialer;
    private final LongConsumer headRead;

    private final Map<NodeId, Long> unreachableUntil = new HashMap<>();
    private ReadResult lastRead;
    private Dial dialing;
    private boolean reading;
    private int attempts;
    private int rolesAtLastAttempt;
    private long nextAttemptNanos;

    /** An attempt to connect to a candidate. */
    static final class Dial {
        private final Node candidate;
        private Channel channel;

        Dial(Node candidate) {
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
            LeaseKeeper relay,
            LeaseKeeper gateway,
            Consumer<Dial> dialer,
            LongConsumer headRead) {
        this.context = context;
        this.placement = placement;
        this.relay = relay;
        this.gateway = gateway;
        this.dialer = dialer;
        this.headRead = headRead;
    }

    /** Takes the next step if it is time; called while the node has no parent. */
    void advance() {
        long now = context.now();
        // A role that was just acquired decides where this node attaches, so the backoff ends.
        boolean roleAcquired = rolesHeld() > rolesAtLastAttempt;
        if (reading || dialing != null || (now - nextAttemptNanos < 0 && !roleAcquired)) {
            return;
        }
        reading = true;
        rolesAtLastAttempt = rolesHeld();
        ReadRequest request = new ReadRequest(
                List.of(
                        Rows.HEAD,
                        Rows.relay(context.self().zone()),
                        Rows.gateway(context.settings().region()),
                        Rows.gateway(context.settings().storeRegion())),
                List.of(Rows.nodes(context.self().zone())));
        context.table().read(request).whenCompleteAsync(this::read, context.control());
    }

    /** The connection to the candidate is open. */
    void attached() {
        dialing = null;
        attempts = 0;
    }

    /** A channel closed; when it was the one being opened, its candidate is passed over for a while. */
    void closed(Channel channel) {
        if (dialing != null && dialing.channel == channel) {
            LOG.info("parent_unreachable", "candidate", dialing.candidate.id());
            long until = context.now() + UNREACHABLE_TIME.toNanos();
            unreachableUntil.put(dialing.candidate.id(), until);
            dialing = null;
            retryLater();
        }
    }

    /** Starts over after the parent was lost. */
    void restart(NodeId lostParent) {
        dialing = null;
        attempts = 0;
        unreachableUntil.put(lostParent, context.now() + Duration.ofSeconds(1).toNanos());
        retryLater();
    }

    private void read(ReadResult read, Throwable failure) {
        reading = false;
        if (failure != null) {
            LOG.warn("roster_read_failed", "error", CompletionFailures.errorCode(failure));
            retryLater();
            if (lastRead != null) {
                // With the platform away the last known roster still leads to a parent.
                attach(lastRead);
            }
            return;
        }
        lastRead = read;
        headRead.accept(Rows.head(read).value().version());
        relay.observe(read);
        gateway.observe(read);
        attach(read);
    }

    private void attach(ReadResult read) {
        Attachment.View view = new Attachment.View(
                context.self(),
                relay.held().isPresent(),
                gateway.held().isPresent(),
                context.settings().region().equals(context.settings().storeRegion()),
                Rows.lease(read, relay.key()).value().holder(),
                Rows.lease(read, gateway.key()).value().holder(),
                Rows.lease(read, Rows.gateway(context.settings().storeRegion()))
                        .value()
                        .holder(),
                Rows.roster(read, context.self().zone()));
        Attachment decision = Attachment.decide(view, placement);
        if (decision instanceof Attachment.Parents parents) {
            dialFirst(reachable(parents.candidates()));
        } else if (!(decision instanceof Attachment.Root)) {
            seekRole();
        }
    }

    private void dialFirst(List<Node> candidates) {
        if (candidates.isEmpty()) {
            seekRole();
            return;
        }
        dialing = new Dial(candidates.get(0));
        LOG.info("parent_chosen", "parent", dialing.candidate.id(), "candidates", candidates.size());
        dialer.accept(dialing);
    }

    /** Takes the role whose holder this node cannot reach, once its lease has expired. */
    private void seekRole() {
        long free = context.now();
        if (relay.held().isEmpty()) {
            free = relay.advance();
        } else if (gateway.held().isEmpty()) {
            free = gateway.advance();
        }
        retryLater();
        if (free - context.now() > 0) {
            // Waiting out a backoff after the lease has expired would add up to 1.6 s to a takeover.
            long takeOver = free + jitterNanos();
            nextAttemptNanos = nextAttemptNanos - takeOver > 0 ? takeOver : nextAttemptNanos;
        }
    }

    private int rolesHeld() {
        return (relay.held().isPresent() ? 1 : 0) + (gateway.held().isPresent() ? 1 : 0);
    }

    /** Spreads the candidates of a zone so that the first one's write is seen by most of the others. */
    private static long jitterNanos() {
        return ThreadLocalRandom.current().nextLong(TAKEOVER_SPREAD.toNanos());
    }

    private List<Node> reachable(List<Node> candidates) {
        long now = context.now();
        unreachableUntil.values().removeIf(until -> now - until >= 0);
        List<Node> reachable = new ArrayList<>(candidates);
        reachable.removeIf(candidate -> unreachableUntil.containsKey(candidate.id()));
        return reachable;
    }

    private void retryLater() {
        long delayMs = ReconnectBackoff.DEFAULT.delayMs(
                attempts, () -> ThreadLocalRandom.current().nextDouble());
        attempts = Math.min(attempts + 1, 3);
        nextAttemptNanos = context.now() + Duration.ofMillis(delayMs).toNanos();
    }
}
