package org.mimosahinge.daemon.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.frame.FrameCodec;

/** Verifies that a link is not closed as too slow while it carries the state of a large fleet. */
class ControlLinkTest {

    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);
    private static final Node NODE =
            new Node(new NodeId("n1"), 1, new AvailabilityZone("a", new Region("west")), new HostPort("127.0.0.1", 1));

    /** The receiving end; completes when the last heartbeat has arrived and fails if the link closes earlier. */
    private record Receiver(CompletableFuture<Integer> receivedEndpoints, long lastHeartbeat, int[] endpointCount)
            implements PeerChannels.Listener {

        @Override
        public Frame.Hello hello() {
            return new Frame.Hello(Frame.Purpose.CONTROL, NODE, 0, false, Set.of());
        }

        @Override
        public void opened(Channel channel, Frame.Hello hello, boolean outbound) {}

        @Override
        public void received(Channel channel, Frame frame) {
            if (frame instanceof Frame.Endpoints states) {
                endpointCount[0] += states.endpoints().size();
            } else if (frame instanceof Frame.Heartbeat heartbeat && heartbeat.sequence() == lastHeartbeat) {
                receivedEndpoints.complete(endpointCount[0]);
            }
        }

        @Override
        public void closed(Channel channel) {
            receivedEndpoints.completeExceptionally(
                    new AssertionError("link closed after " + endpointCount[0] + " endpoints"));
        }
    }

    /** The sending end; sends everything as soon as the link is open. */
    private record Sender(List<Endpoint> endpoints, long heartbeats, CompletableFuture<Long> writableBytes)
            implements PeerChannels.Listener {

        @Override
        public Frame.Hello hello() {
            return new Frame.Hello(Frame.Purpose.CONTROL, NODE, 0, false, Set.of());
        }

        @Override
        public void opened(Channel channel, Frame.Hello hello, boolean outbound) {
            writableBytes.complete(channel.bytesBeforeUnwritable());
            ControlLink link = new ControlLink(channel, hello, ControlLink.Direction.PARENT);
            CompletableFuture.runAsync(() -> {
                link.send(new Frame.Endpoints(endpoints));
                for (long sequence = 1; sequence <= heartbeats; sequence++) {
                    link.send(new Frame.Heartbeat(sequence));
                }
            });
        }

        @Override
        public void received(Channel channel, Frame frame) {}

        @Override
        public void closed(Channel channel) {}
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 480, 4_800})
    void sendingStateOfWholeFleetKeepsLinkOpen(int count) {
        int heartbeats = 20;
        NioEventLoopGroup group = new NioEventLoopGroup(2);
        try (PeerChannels accepting = new PeerChannels(group, new ControlByteCounter());
                PeerChannels dialing = new PeerChannels(group, new ControlByteCounter())) {
            CompletableFuture<Integer> received = new CompletableFuture<>();
            accepting.setHandlers(new Receiver(received, heartbeats, new int[1]), hello -> null);
            CompletableFuture<Long> writableBytes = new CompletableFuture<>();
            List<Endpoint> sentEndpoints = endpoints(count);
            dialing.setHandlers(new Sender(sentEndpoints, heartbeats, writableBytes), hello -> null);
            dialing.dial(accepting.listen(ANY_PORT, group), Duration.ofSeconds(5));
            assertEquals(count, received.join());
            // Loopback accepts all bytes at once; on a slow link between regions they wait in the channel's buffer.
            int encodedBytes = FrameCodec.encode(new Frame.Endpoints(sentEndpoints)).length;
            assertTrue(
                    writableBytes.join() > encodedBytes,
                    "write buffer of " + writableBytes.join() + " for frame of " + encodedBytes + " bytes");
        } finally {
            group.shutdownGracefully();
        }
    }

    private static List<Endpoint> endpoints(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new Endpoint(
                        "n1/127.0.0.1:" + i,
                        new BackendServer("listings", "v1", new HostPort("127.0.0.1", i), 20, 130, Set.of()),
                        NODE,
                        EndpointState.READY,
                        new LogicalTimestamp(1, i)))
                .toList();
    }
}
