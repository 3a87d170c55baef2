package org.mimosahinge.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Quota;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.core.organisation.OrganisationBounds;
import org.mimosahinge.daemon.traffic.QuotaGates;
import org.mimosahinge.net.frame.Frame;

/** Checks which frames a node sends for quotas. */
class QuotaCoordinatorTest {

    private static final OrganisationBounds BOUNDS =
            new OrganisationBounds(false, Duration.ofSeconds(5), Duration.ofSeconds(5), 0.1, 20);
    private static final int TICKS = 20;
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final List<Frame> reports = new ArrayList<>();
    private final List<Set<NodeId>> answered = new ArrayList<>();
    private final QuotaTransport transport = new QuotaTransport() {
        @Override
        public void report(Node coordinator, Frame.QuotaUse use) {
            reports.add(use);
        }

        @Override
        public void answer(Set<NodeId> reporters, Frame.QuotaAllowances allowances) {
            answered.add(reporters);
        }
    };

    private static Node node(int number) {
        return new Node(
                new NodeId("n" + number),
                1,
                new AvailabilityZone("a", new Region("west")),
                new HostPort("127.0.0.1", 1 + number));
    }

    private static Organisations organisations(String quota) {
        if (quota.equals("none")) {
            return Organisations.NONE;
        }
        Quota limit = quota.equals("unlimited") ? Quota.UNLIMITED : new Quota(5, 5);
        return Organisations.of(List.of(new Organisation("press", Set.of(), Optional.empty(), limit, Set.of())));
    }

    /** Returns a coordinator whose node knows the other nodes and is connected to the first of them. */
    private QuotaCoordinator coordinator(int known, int connected) {
        Peers peers = new Peers(node(0).id());
        IntStream.range(1, known).mapToObj(QuotaCoordinatorTest::node).forEach(node -> {
            peers.addOrUpdate(node, 0);
            if (node.address().port() <= 1 + connected) {
                peers.connectionOpened(node, 1);
            }
        });
        QuotaGates gates = new QuotaGates(bound -> bound / 2, new MetricRegistry());
        return new QuotaCoordinator(node(0), peers, gates, transport);
    }

    // A fleet without quotas must not send frames for them.
    @ParameterizedTest
    @CsvSource({"none, false", "unlimited, false", "limited, true"})
    void framesAreSentOnlyForQuotas(String quota, boolean sent) {
        QuotaCoordinator coordinator = coordinator(4, 3);
        Organisations organisations = organisations(quota);
        for (int tick = 0; tick < TICKS; tick++) {
            coordinator.tick(organisations, BOUNDS, tick * TICK_NANOS);
            coordinator.frameReceived(node(1), new Frame.QuotaUse(tick == 0, List.of()), tick * TICK_NANOS);
        }
        assertEquals(sent, !reports.isEmpty() || !answered.isEmpty());
    }

    // Two parts of a divided fleet must not both hand out the whole quota.
    @ParameterizedTest
    @CsvSource({"3, true", "2, true", "1, false", "0, false"})
    void onlyANodeConnectedToMostOthersAnswers(int connected, boolean answers) {
        QuotaCoordinator coordinator = coordinator(4, connected);
        for (int tick = 0; tick < TICKS; tick++) {
            coordinator.frameReceived(node(1), new Frame.QuotaUse(tick == 0, List.of()), tick * TICK_NANOS);
            coordinator.tick(organisations("limited"), BOUNDS, tick * TICK_NANOS);
        }
        assertEquals(answers, answered.stream().anyMatch(nodes -> nodes.contains(node(1).id())));
        assertTrue(answered.size() <= TICKS, "one answer for each tick at most");
    }
}
