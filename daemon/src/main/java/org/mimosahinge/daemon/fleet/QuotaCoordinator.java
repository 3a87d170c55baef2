package org.mimosahinge.daemon.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.core.organisation.OrganisationBounds;
import org.mimosahinge.core.organisation.QuotaAccounts;
import org.mimosahinge.core.organisation.QuotaCoordinatorOrder;
import org.mimosahinge.core.organisation.QuotaCount;
import org.mimosahinge.core.organisation.QuotaLimits;
import org.mimosahinge.core.organisation.QuotaReport;
import org.mimosahinge.core.organisation.QuotaReporter;
import org.mimosahinge.core.organisation.QuotaShare;
import org.mimosahinge.daemon.traffic.QuotaGates;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/**
 * Holds quotas together with the other nodes: reports this node's calls to the coordinator, and answers the other nodes
 * while this node is the coordinator. Only the control thread uses it.
 */
final class QuotaCoordinator {

    private static final EventLog LOG = EventLog.of("quota");

    /** Ticks between answers while no organisation is limited; they only show that the coordinator works. */
    private static final int IDLE_ANSWER_TICKS = 2;

    private final Node self;
    private final Peers peers;
    private final QuotaGates gates;
    private final QuotaTransport transport;
    private final QuotaCoordinatorOrder coordinators = new QuotaCoordinatorOrder();
    private final QuotaReporter reporter = new QuotaReporter();
    private final QuotaAccounts accounts = new QuotaAccounts();
    private Organisations organisations = Organisations.NONE;
    private QuotaLimits limits = new QuotaLimits(Map.of(), 1, OrganisationBounds.NONE);
    private String coordinatorProcess = "";
    private Set<String> limited = Set.of();
    private int ticks;

    QuotaCoordinator(Node self, Peers peers, QuotaGates gates, QuotaTransport transport) {
        this.self = self;
        this.peers = peers;
        this.gates = gates;
        this.transport = transport;
    }

    /** Reports and answers; nothing is sent while no organisation has a quota. */
    void tick(Organisations inForce, OrganisationBounds bounds, long nowNanos) {
        long nowMs = TimeUnit.NANOSECONDS.toMillis(nowNanos);
        applyLimits(inForce, bounds, nowMs);
        if (limits.whole().isEmpty()) {
            return;
        }
        Map<String, Node> reachable = peers.connected().stream()
                .collect(Collectors.toMap(node -> node.id().value(), node -> node));
        reachable.put(self.id().value(), self);
        Node coordinator = reachable.get(coordinators.choose(reachable.keySet(), nowMs));
        String process = coordinator.id().value() + '/' + coordinator.incarnation();
        if (!process.equals(coordinatorProcess)) {
            coordinatorProcess = process;
            LOG.info(
                    "quota_coordinator",
                    "node",
                    coordinator.id(),
                    "reached",
                    reachable.size(),
                    "known",
                    limits.knownNodes());
        }
        for (QuotaReport report : reporter.due(process, gates.state(), limits.knownNodes(), nowMs)) {
            if (coordinator == self) {
                reported(self, report, nowMs);
            } else {
                transport.report(coordinator, toFrame(report));
            }
        }
        if (++ticks % IDLE_ANSWER_TICKS == 0 || accounts.limiting()) {
            answer(nowMs);
        }
    }

    private void applyLimits(Organisations inForce, OrganisationBounds bounds, long nowMs) {
        int known = 1 + peers.peerCount();
        boolean unchanged = inForce == organisations && known == limits.knownNodes() && bounds.equals(limits.bounds());
        if (unchanged) {
            return;
        }
        organisations = inForce;
        limits = QuotaLimits.of(inForce, known, bounds);
        gates.apply(limits, nowMs);
    }

    /** Handles a report of another node or an answer of the coordinator; ignores other frames. */
    void frameReceived(Node from, Frame frame, long nowNanos) {
        long nowMs = TimeUnit.NANOSECONDS.toMillis(nowNanos);
        if (frame instanceof Frame.QuotaUse use) {
            reported(from, fromFrame(use), nowMs);
        } else if (frame instanceof Frame.QuotaAllowances allowances
                && coordinators.heard(from.id().value(), nowMs)) {
            gates.told(fromFrame(allowances), nowMs);
        }
    }

    private void reported(Node from, QuotaReport report, long nowMs) {
        if (accounts.add(from.id().value(), report, limits, nowMs)) {
            answer(nowMs);
        }
    }

    private void answer(long nowMs) {
        Set<String> reporters = accounts.reporters(nowMs);
        boolean coordinating = !reporters.isEmpty()
                && QuotaCoordinatorOrder.mayCoordinate(1 + peers.connectedCount(), limits.knownNodes());
        gates.coordinating(coordinating);
        if (!coordinating) {
            return;
        }
        Map<String, QuotaShare> shares = accounts.tell(limits, nowMs);
        logChanges(shares, reporters.size());
        transport.answer(
                reporters.stream()
                        .filter(node -> !node.equals(self.id().value()))
                        .map(NodeId::new)
                        .collect(Collectors.toUnmodifiableSet()),
                toFrame(shares));
        if (reporters.contains(self.id().value())
                && coordinators.heard(self.id().value(), nowMs)) {
            gates.told(shares, nowMs);
        }
    }

    private void logChanges(Map<String, QuotaShare> shares, int reporters) {
        shares.forEach((organisation, share) -> {
            if (!limited.contains(organisation)) {
                LOG.info(
                        "quota_limited",
                        "organisation",
                        organisation,
                        "calls_per_s",
                        limits.whole().get(organisation).callsPerS(),
                        "permille",
                        share.permille(),
                        "reporters",
                        reporters);
            }
        });
        limited.forEach(organisation -> {
            if (!shares.containsKey(organisation)) {
                LOG.info("quota_released", "organisation", organisation, "reporters", reporters);
            }
        });
        limited = Set.copyOf(shares.keySet());
    }

    private static Frame.QuotaUse toFrame(QuotaReport report) {
        List<Frame.OrganisationUse> uses = report.counts().entrySet().stream()
                .map(entry -> new Frame.OrganisationUse(
                        entry.getKey(),
                        entry.getValue().admitted(),
                        entry.getValue().refused()))
                .toList();
        return new Frame.QuotaUse(report.first(), uses);
    }

    private static QuotaReport fromFrame(Frame.QuotaUse use) {
        Map<String, QuotaCount> counts = new HashMap<>();
        use.uses()
                .forEach(element ->
                        counts.put(element.organisation(), new QuotaCount(element.admitted(), element.refused())));
        return new QuotaReport(use.first(), counts);
    }

    private static Frame.QuotaAllowances toFrame(Map<String, QuotaShare> shares) {
        return new Frame.QuotaAllowances(shares.entrySet().stream()
                .map(entry -> new Frame.Allowance(
                        entry.getKey(),
                        entry.getValue().permille(),
                        entry.getValue().waitMs(),
                        entry.getValue().spreadMs()))
                .toList());
    }

    private static Map<String, QuotaShare> fromFrame(Frame.QuotaAllowances allowances) {
        Map<String, QuotaShare> shares = new HashMap<>();
        allowances
                .allowances()
                .forEach(allowance -> shares.put(
                        allowance.organisation(),
                        new QuotaShare(allowance.permille(), allowance.waitMs(), allowance.spreadMs())));
        return shares;
    }
}
