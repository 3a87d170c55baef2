package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.EventExecutor;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.stream.StreamSupport;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.frame.FrameCodec;

/** Guards against calls that run at a backend server after their caller disconnected or their deadline passed. */
@Timeout(120)
class DisconnectedCallersTest {

    private static final String CALLERS_DISCONNECTED = "mimosahinge_callers_left_total";
    private static final String DEADLINES_PASSED = "mimosahinge_calls_failed_total{code=\"deadline_exceeded\"}";
    private static final String NORMAL_REQUEST = "GET /x/prompt HTTP/1.1\r\nhost: a\r\n\r\n";
    private static final String LATE_REQUEST = "GET /x/late HTTP/1.1\r\nhost: a\r\nx-deadline-ms: 250\r\n\r\n";

    /** Callers disconnect shortly before their deadline. */
    private static final long DISCONNECT_MS = 220;

    /** Longer than the 500 ms after which a call of a disconnected caller must no longer reach its backend server. */
    private static final long BLOCKED_MS = 700;

    private static final int CALLERS = 12;

    /** The request and the close after it are both in the receive buffer when the traffic thread reads them. */
    @ParameterizedTest(name = "endpoint on node {0}, callers {1} their connections")
    @CsvSource({"0, close", "1, close", "0, reset", "1, reset"})
    void requestOfDisconnectedCallerIsNotForwarded(int node, String manner) throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.echo("b");
                TestMesh mesh = mesh(2, 1, node, backend, CALLERS)) {
            List<TestCaller> callers = callersWithOpenConnections(mesh);
            try (BlockedLoops blocked = BlockedLoops.all(mesh.planes.get(0))) {
                sendLate(callers);
                disconnect(callers, manner);
                Thread.sleep(BLOCKED_MS);
            }
            assertNoneIsRun(mesh, backend);
        }
    }

    /** The time for which a request waits in the receive buffer counts against its deadline. */
    @ParameterizedTest(name = "endpoint on node {0}")
    @ValueSource(ints = {0, 1})
    void timeBeforeReadCountsAgainstDeadline(int node) throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.echo("b");
                TestMesh mesh = mesh(2, 1, node, backend, 1);
                TestCaller caller = new TestCaller(mesh.planes.get(0).callers())) {
            assertEquals(200, caller.send(NORMAL_REQUEST).status());
            try (BlockedLoops blocked = BlockedLoops.all(mesh.planes.get(0))) {
                caller.send(LATE_REQUEST);
                Thread.sleep(BLOCKED_MS);
            }
            assertEquals(200, caller.status());
            int remainingMs = Integer.parseInt(
                    backend.received.get(backend.received.size() - 1).header("x-deadline-ms"));
            assertTrue(remainingMs <= 250 / 2, remainingMs + " ms of 250 left");
        }
    }

    /** The call and its cancel are read together by the other node. */
    @ParameterizedTest(name = "calls end by {0}")
    @ValueSource(strings = {"close", "deadline"})
    void callReadTogetherWithItsCancelIsNotRun(String end) throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.echo("b");
                TestMesh mesh = mesh(2, 1, 1, backend, CALLERS)) {
            List<TestCaller> callers = callersWithOpenConnections(mesh);
            try (BlockedLoops blocked = BlockedLoops.all(mesh.planes.get(1))) {
                sendLate(callers);
                end(mesh, callers, end);
            }
            assertNoneIsRun(mesh, backend);
        }
    }

    /** The call reaches the other node long before its cancel, but after its deadline. */
    @ParameterizedTest(name = "calls end by {0}")
    @ValueSource(strings = {"close", "deadline"})
    void callDelayedBeyondItsDeadlineIsNotRun(String end) throws Exception {
        try (ScriptedBackend backend = ScriptedBackend.echo("b");
                TestMesh mesh = mesh(2, 1, 1, backend, CALLERS);
                DelayingProxy proxy = new DelayingProxy(mesh.node(1).address())) {
            mesh.overrideAddress(0, 1, proxy.address());
            List<TestCaller> callers = callersWithOpenConnections(mesh);
            proxy.delay(BLOCKED_MS);
            sendLate(callers);
            end(mesh, callers, end);
            proxy.delay(0);
            assertNoneIsRun(mesh, backend);
        }
    }

    /** The call and its cancel wait for the event loop that owns the backend server's slots. */
    @ParameterizedTest(name = "calls end by {0}")
    @ValueSource(strings = {"close", "deadline"})
    void callCancelledBeforeItsEventLoopStartsItIsNotRun(String end) throws Exception {
        int loops = 3;
        try (ScriptedBackend backend = ScriptedBackend.echo("b");
                TestMesh mesh = mesh(1, loops, 0, backend, CALLERS)) {
            String endpoint = mesh.snapshot().endpoints().get("svc").get(0).id();
            TrafficLoop owner = mesh.planes.get(0).owner(endpoint);
            List<TestCaller> callers = callersOfOtherLoops(mesh, owner);
            try (BlockedLoops blocked = BlockedLoops.of(List.of(owner.eventLoop()))) {
                sendLate(callers);
                Thread.sleep(DISCONNECT_MS);
                if (end.equals("close")) {
                    disconnect(callers, "close");
                }
                Thread.sleep(BLOCKED_MS);
            }
            assertNoneIsRun(mesh, backend);
        }
    }

    /** The connection to the other node is still being opened when the call is cancelled or its deadline passes. */
    @ParameterizedTest(name = "cancelled: {0}")
    @ValueSource(booleans = {true, false})
    void callCancelledBeforeItsConnectionIsOpenIsNotSent(boolean cancelled) throws Exception {
        try (TestMesh mesh = new TestMesh(1, null).route(TestMesh.route("/x", true, false));
                ServerSocket peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            TrafficPlane plane = mesh.planes.get(0);
            EventExecutor eventLoop = plane.eventLoops().next();
            TrafficLoop loop = plane.loop((io.netty.channel.EventLoop) eventLoop);
            List<Frame.CallFailure> failures = new ArrayList<>();
            eventLoop
                    .submit(() -> {
                        OutboundPeerConnection connection =
                                OutboundPeerConnection.open(loop, new HostPort("127.0.0.1", peer.getLocalPort()));
                        CallStream stream = connection.start(start(250), failuresTo(failures));
                        if (cancelled) {
                            stream.cancel();
                        } else {
                            // The connection opens meanwhile, which the event loop handles after the deadline.
                            Thread.sleep(BLOCKED_MS);
                        }
                        return null;
                    })
                    .get();
            try (Socket accepted = peer.accept()) {
                List<Frame> frames = framesUntilClosed(accepted);
                assertTrue(frames.stream().noneMatch(Frame.CallStart.class::isInstance), frames.toString());
                assertTrue(frames.stream().noneMatch(Frame.Cancel.class::isInstance), frames.toString());
            }
            assertEquals(
                    cancelled ? List.of() : List.of(true),
                    failures.stream().map(Frame.CallFailure::notRun).toList());
        }
    }

    /** A slot becomes free after the deadline of the queued call, but before the queue timeout is handled. */
    @ParameterizedTest(name = "endpoint on node {0}")
    @ValueSource(ints = {0, 1})
    void callWhoseDeadlinePassesInQueueIsNotRun(int node) throws Exception {
        CountDownLatch running = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedBackend backend = ScriptedBackend.start((request, out) -> {
                    if (request.uri().equals("/x/first")) {
                        running.countDown();
                        release.await();
                    }
                    ScriptedBackend.respond(out, "200 OK", "ok");
                });
                TestMesh mesh = mesh(2, 1, node, backend, 1);
                TestCaller first = new TestCaller(mesh.planes.get(0).callers());
                TestCaller second = new TestCaller(mesh.planes.get(0).callers())) {
            assertEquals(200, second.send(NORMAL_REQUEST).status());
            first.send("GET /x/first HTTP/1.1\r\nhost: a\r\n\r\n");
            running.await();
            second.send(LATE_REQUEST);
            // Long enough for the call to be queued, shorter than its deadline.
            Thread.sleep(100);
            try (BlockedLoops blocked = BlockedLoops.all(mesh.planes.get(node))) {
                release.countDown();
                Thread.sleep(BLOCKED_MS);
            }
            assertNoneIsRun(mesh, backend);
        }
    }

    private static TestMesh mesh(int nodes, int eventLoops, int node, ScriptedBackend backend, int slots) {
        return new TestMesh(nodes, null, eventLoops)
                .route(TestMesh.route("/x", true, false))
                .endpoint(node, "svc", backend.address(), slots);
    }

    /** Opens connections and sends a call on each, so that the late calls need not open any. */
    private static List<TestCaller> callersWithOpenConnections(TestMesh mesh) throws Exception {
        List<TestCaller> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            TestCaller caller = new TestCaller(mesh.planes.get(0).callers());
            assertEquals(200, caller.send(NORMAL_REQUEST).status());
            callers.add(caller);
        }
        return callers;
    }

    /** Opens connections on event loops other than the given one, which reads nothing while it is blocked. */
    private static List<TestCaller> callersOfOtherLoops(TestMesh mesh, TrafficLoop loop) throws Exception {
        List<TestCaller> callers = new ArrayList<>();
        while (callers.size() < CALLERS) {
            int before =
                    loop.eventLoop().submit(() -> loop.connections().size()).get();
            TestCaller caller = new TestCaller(mesh.planes.get(0).callers());
            assertEquals(200, caller.send(NORMAL_REQUEST).status());
            if (loop.eventLoop().submit(() -> loop.connections().size()).get() == before) {
                callers.add(caller);
            }
        }
        return callers;
    }

    private static void sendLate(List<TestCaller> callers) throws Exception {
        for (TestCaller caller : callers) {
            caller.send(LATE_REQUEST);
        }
    }

    private static void disconnect(List<TestCaller> callers, String manner) throws Exception {
        Thread.sleep(DISCONNECT_MS);
        for (TestCaller caller : callers) {
            if (manner.equals("reset")) {
                caller.reset();
            } else {
                caller.close();
            }
        }
    }

    /** Ends the calls at the first node, which is not blocked, and waits until it has noticed. */
    private static void end(TestMesh mesh, List<TestCaller> callers, String end) throws Exception {
        if (end.equals("close")) {
            disconnect(callers, end);
            // On a busy machine the deadline of some calls passes before their callers' close is read.
            while (mesh.count(0, CALLERS_DISCONNECTED) + mesh.count(0, DEADLINES_PASSED) < CALLERS) {
                Thread.sleep(1);
            }
            Thread.sleep(BLOCKED_MS);
        } else {
            for (TestCaller caller : callers) {
                assertEquals(504, caller.status());
            }
        }
    }

    /** Reads until the dialing node closes the connection, which it does because it hears nothing. */
    private static List<Frame> framesUntilClosed(Socket accepted) throws IOException {
        List<Frame> frames = new ArrayList<>();
        DataInputStream in = new DataInputStream(accepted.getInputStream());
        try {
            while (true) {
                frames.add(FrameCodec.decode(in.readNBytes(in.readInt())));
            }
        } catch (EOFException e) {
            return frames;
        }
    }

    /** Sends another call; calls forwarded before it have reached the backend server when it completes. */
    private static void assertNoneIsRun(TestMesh mesh, ScriptedBackend backend) throws Exception {
        assertEquals(200, mesh.get("/x/after").statusCode());
        long late = backend.received.stream()
                .filter(request -> request.uri().equals("/x/late"))
                .count();
        assertEquals(0, late, "calls run for disconnected callers");
    }

    private static Frame.CallStart start(int deadlineMs) {
        return new Frame.CallStart(
                1, "e", "svc", CallClass.INTERACTIVE, deadlineMs, deadlineMs, "GET", "/x", Map.of(), false, 0, 0);
    }

    private static ResponseObserver failuresTo(List<Frame.CallFailure> failures) {
        return new ResponseObserver() {
            @Override
            public void started(Frame.ResponseStart start) {}

            @Override
            public void body(byte[] bytes, boolean last) {}

            @Override
            public void credit(int bytes) {}

            @Override
            public void failed(Frame.CallFailure failure) {
                failures.add(failure);
            }

            @Override
            public void flush() {}
        };
    }

    /** Blocks event loops until it is closed, like those of a node without CPU time. */
    private record BlockedLoops(CountDownLatch release) implements AutoCloseable {

        static BlockedLoops all(TrafficPlane plane) throws InterruptedException {
            return of(StreamSupport.stream(plane.eventLoops().spliterator(), false)
                    .toList());
        }

        static BlockedLoops of(List<? extends EventExecutor> loops) throws InterruptedException {
            CountDownLatch release = new CountDownLatch(1);
            CountDownLatch blocked = new CountDownLatch(loops.size());
            loops.forEach(loop -> loop.execute(() -> {
                blocked.countDown();
                awaitUninterruptibly(release);
            }));
            blocked.await();
            return new BlockedLoops(release);
        }

        private static void awaitUninterruptibly(CountDownLatch latch) {
            try {
                latch.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void close() {
            release.countDown();
        }
    }
}
