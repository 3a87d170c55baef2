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

/** Guards against links that are cut off as too slow while they carry the state of a large fleet. */
class ControlLinkTest {

    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);
    private static final Node NODE =
            new Node(new NodeId("n1"), 1, new AvailabilityZone("a", new Region("west")), new HostPort("127.0.0.1", 1));

    /** The receiving end; completes when the last heartbeat arrives and fails when the link closes before. */
    private record Receiver(CompletableFuture<Integer> endpoints, long lastHeartbeat, int[] seen)
            implements PeerChannels.Events {

        @Override
        public Frame.Hello hello() {
            return new Frame.Hello(Frame.Purpose.CONTROL, NODE, 0, false, Set.of());
        }

        @Override
        public void opened(Channel channel, Frame.Hello hello, boolean dialed) {}

        @Override
        public void received(Channel channel, Frame frame) {
            if (frame instanceof Frame.Endpoints states) {
                seen[0] += states.endpoints().size();
            } else if (frame instanceof Frame.Heartbeat heartbeat && heartbeat.sequence() == lastHeartbeat) {
                endpoints.complete(seen[0]);
            }
        }

        @Override
        public void closed(Channel channel) {
            endpoints.completeExceptionally(new AssertionError("link closed after " + seen[0] + " endpoints"));
        }
    }

    /** The sending end; sends everything as soon as the link is open. */
    private record Sender(List<Endpoint> endpoints, long heartbeats, CompletableFuture<Long> room)
            implements PeerChannels.Events {

        @Override
        public Frame.Hello hello() {
            return new Frame.Hello(Frame.Purpose.CONTROL, NODE, 0, false, Set.of());
        }

        @Override
        public void opened(Channel channel, Frame.Hello hello, boolean dialed) {
            room.complete(channel.bytesBeforeUnwritable());
            ControlLink link = new ControlLink(channel, hello, ControlLink.Direction.PARENT);
            CompletableFuture.runAsync(() -> {
                link.send(new Frame.Endpoints(endpoints));
                for (long beat = 1; beat <= heartbeats; beat++) {
                    link.send(new Frame.Heartbeat(beat));
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
    void stateOfTheWholeFleetDoesNotCutTheLink(int count) {
        int heartbeats = 20;
        NioEventLoopGroup group = new NioEventLoopGroup(2);
        try (PeerChannels accepting = new PeerChannels(group, new ControlTraffic());
                PeerChannels dialing = new PeerChannels(group, new ControlTraffic())) {
            CompletableFuture<Integer> received = new CompletableFuture<>();
            accepting.serve(new Receiver(received, heartbeats, new int[1]), hello -> null);
            CompletableFuture<Long> room = new CompletableFuture<>();
            List<Endpoint> fleet = endpoints(count);
            dialing.serve(new Sender(fleet, heartbeats, room), hello -> null);
            dialing.dial(accepting.listen(ANY_PORT, group), Duration.ofSeconds(5));
            assertEquals(count, received.join());
            // Loopback takes everything at once; a slow region link leaves it in the channel's buffer.
            int size = FrameCodec.encode(new Frame.Endpoints(fleet)).length;
            assertTrue(room.join() > size, "room for " + room.join() + " of " + size + " bytes");
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
