package org.mimosahinge.bench.control;

import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.document.SectionParser;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.platform.TableService;
import org.mimosahinge.api.settings.NodeSettings;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.bench.Await;
import org.mimosahinge.bench.BenchException;
import org.mimosahinge.core.fanout.FanoutPolicy;
import org.mimosahinge.net.http.HttpMessageClient;
import org.mimosahinge.net.platform.PlatformClient;
import org.mimosahinge.standin.link.LinkStandin;
import org.mimosahinge.standin.platform.PlatformStandin;

/**
 * Control planes of many nodes in two regions with two zones each, with stand-ins of the platform and of the region
 * link.
 */
final class ControlCluster implements AutoCloseable {

    private static final Duration LINK_DELAY = Duration.ofMillis(12);
    private static final long LINK_BITS_PER_SECOND = 30_000_000;
    private static final int EVENT_LOOPS = 4;
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(40);
    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

    private final NioEventLoopGroup group = new NioEventLoopGroup(EVENT_LOOPS);
    private final HttpMessageClient http = HttpMessageClient.create(group, Duration.ofSeconds(1));
    private final PlatformStandin platform = PlatformStandin.start();
    private final LinkStandin link = LinkStandin.start(LINK_DELAY, LINK_BITS_PER_SECOND);
    private final PlatformClient directClient = PlatformClient.create(http, platform.address());
    private final PlatformClient linkClient = PlatformClient.create(http, link.tunnel(platform.address()));
    private final TableService remoteTableService =
            new RemoteTableService(linkClient, "lease/gateway/near", link::tunnel);
    private final List<ControlNode> nodes = new ArrayList<>();
    private final FanoutPolicy fanout;
    private long revision;

    ControlCluster(FanoutPolicy fanout, int nearNodes, int farNodes) {
        this.fanout = fanout;
        for (int i = 0; i < nearNodes; i++) {
            nodes.add(startNode("near", i));
        }
        for (int i = 0; i < farNodes; i++) {
            nodes.add(startNode("far", i));
        }
    }

    private ControlNode startNode(String region, int index) {
        boolean inStoreRegion = region.equals("near");
        NodeSettings settings = NodeSettings.builder()
                .nodeId(region + '-' + index)
                .zone(region + '-' + (index % 2 == 0 ? "a" : "b"))
                .region(region)
                .storeRegion("near")
                .callerAddress(ANY_PORT)
                .peerAddress(ANY_PORT)
                .operatorAddress(ANY_PORT)
                .platformAddress(platform.address())
                .build();
        return new ControlNode(
                settings,
                inStoreRegion ? directClient : remoteTableService,
                inStoreRegion ? directClient : linkClient,
                fanout,
                group);
    }

    List<ControlNode> liveNodes() {
        return nodes.stream().filter(node -> !node.isStopped()).toList();
    }

    LinkStandin link() {
        return link;
    }

    /** Waits until every live node is ready and counts all live nodes; polling nodes form no tree and need not wait. */
    void awaitAttached() {
        if (fanout.headAccess().readsHead(false)) {
            return;
        }
        int count = liveNodes().size();
        Await.until(AWAIT_TIMEOUT, "attachment of " + count + " nodes", () -> liveNodes().stream()
                .allMatch(node -> node.isReady()
                        && node.plane()
                                        .query(plane -> plane.nodeCount())
                                        .toCompletableFuture()
                                        .join()
                                == count));
    }

    /** Submits a changed section at a node and returns the accepted version. */
    long submit(ControlNode node) {
        long version = node.plane()
                .submissions()
                .submit(section((int) revision), revision)
                .toCompletableFuture()
                .join()
                .version();
        revision++;
        return version;
    }

    /** Waits until a version is in force on every live node; returns the time since the given instant. */
    Duration awaitInForce(long version, long sinceNanos) {
        long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (!liveNodes().stream().allMatch(node -> node.version() >= version)) {
            if (System.nanoTime() - deadlineNanos >= 0) {
                throw new BenchException("Version " + version + " is not in force on every node");
            }
            // Polls more often than Await, because this time is the measured value.
            Await.sleep(1);
        }
        return Duration.ofNanos(System.nanoTime() - sinceNanos);
    }

    /** Returns the live node that holds a lease. */
    Optional<ControlNode> leaseHolder(String leaseKey) {
        String value = directClient
                .read(new ReadRequest(List.of(leaseKey), List.of()))
                .toCompletableFuture()
                .join()
                .row(leaseKey)
                .map(row -> row.value())
                .orElse("");
        return liveNodes().stream()
                .filter(node -> value.contains('"' + node.node().id().value() + '"'))
                .findFirst();
    }

    /** Returns a section whose content differs with the number. */
    static Section section(int number) {
        String json =
                """
                {"team": "listings", "resources": ["index-%1$d"],
                 "services": [{"name": "listings", "versions": ["v%1$d", "v%2$d"], "current": "v%1$d"}],
                 "routes": [
                   {"name": "browse", "pathPrefix": "/listings", "service": "listings", "callClass": "interactive",
                    "timeout": "2s", "idempotent": true, "atMostOnce": false, "resources": ["index-%1$d"]},
                   {"name": "confirm", "pathPrefix": "/confirm", "service": "listings", "callClass": "confirmation",
                    "timeout": "5s", "idempotent": false, "atMostOnce": true, "resources": []}]}
                """
                        .formatted(number, number + 1);
        return SectionParser.parse("section", json.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() {
        liveNodes().forEach(ControlNode::close);
        link.close();
        platform.close();
        http.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
