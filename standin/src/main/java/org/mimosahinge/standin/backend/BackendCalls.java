package org.mimosahinge.standin.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;

/** Determines the response to each request from the server's behaviour; confined to one thread. */
final class BackendCalls {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String KEY_HEADER = "idempotency-key";
    private static final String CALL_HEADER = "x-call";
    private static final String DEADLINE_HEADER = "x-deadline-ms";
    private static final String OUTCOME_HEADER = "x-mimosahinge-outcome";
    private static final String LOAD_HEADER = "x-load";

    private final BackendSettings settings;
    private final Listener listener;
    private final SplittableRandom random;
    private final CallCounters counters = new CallCounters();
    private final PausableRunner pausableRunner = new PausableRunner();
    private final Map<String, Function<FullHttpRequest, Response>> controls = Map.of(
            "PUT /_standin/behaviour", this::changeBehaviour,
            "GET /_standin/stats", request -> json(counters.stats()),
            "POST /_standin/drain", this::drain);
    private Behaviour behaviour;

    BackendCalls(BackendSettings settings, Behaviour behaviour, Listener listener) {
        this.settings = settings;
        this.listener = listener;
        this.random = new SplittableRandom(settings.seed());
        setBehaviour(behaviour);
    }

    /** Receives effects of requests on the server itself. */
    interface Listener {
        /** Ends the server at once; calls in flight are lost. */
        void crash();

        /** Starts a graceful stop. */
        void drain();

        /** Called when a call has completed or was cancelled. */
        void callEnded();

        /** Returns the remaining time of the warm-up in milliseconds. */
        long warmUpRemainingMs();
    }

    /** How a request is processed. */
    enum Kind {
        /** Controls the stand-in; processed even while it is frozen. */
        CONTROL,
        /** Refused, the call is not run. */
        REFUSED,
        /** Counts as running until its response has been sent. */
        RUN
    }

    /** A response with the delay before it is sent and the number of bytes after which it is truncated, 0 for none. */
    record PlannedResponse(Response response, Kind kind, long delayMs, long truncateAfter) {}

    PlannedResponse respond(FullHttpRequest request) {
        Function<FullHttpRequest, Response> control =
                controls.get(request.method() + " " + new QueryStringDecoder(request.uri()).path());
        if (control != null) {
            return new PlannedResponse(control.apply(request), Kind.CONTROL, 0, 0);
        }
        if (!behaviour.crashMarker().isEmpty() && request.uri().contains(behaviour.crashMarker())) {
            listener.crash();
        }
        if (behaviour.shedAbove() > 0 && counters.running() >= behaviour.shedAbove()) {
            counters.callShed();
            return new PlannedResponse(refusal(), Kind.REFUSED, 0, 0);
        }
        counters.callStarted(request.headers().get(KEY_HEADER));
        long delayMs = Math.max(behaviour.latencyMs(), listener.warmUpRemainingMs());
        long deadlineMs = parseDeadline(request.headers().get(DEADLINE_HEADER));
        Response response = delayMs > deadlineMs ? error(504, "deadline_exceeded") : run(request);
        return new PlannedResponse(
                addHeaders(response, request), Kind.RUN, Math.min(delayMs, deadlineMs), behaviour.truncateAfterBytes());
    }

    private Response run(FullHttpRequest request) {
        if (behaviour.errorPermille() > 0 && random.nextInt(1000) < behaviour.errorPermille()) {
            return error(500, "internal");
        }
        if (Downloads.matches(request)) {
            return Downloads.respond(settings.service(), request);
        }
        String call = request.headers().get(CALL_HEADER, "");
        return json(new Echo(
                settings.service(),
                settings.version(),
                request.method().name(),
                request.uri(),
                call,
                request.content().readableBytes()));
    }

    /** Response body that describes the request. */
    private record Echo(String service, String version, String method, String path, String call, int bodyBytes) {}

    private Response addHeaders(Response response, FullHttpRequest request) {
        String call = request.headers().get(CALL_HEADER);
        Response extended = response.with("x-service", settings.service())
                .with("x-version", settings.version())
                .with(LOAD_HEADER, Integer.toString(loadPermille()));
        return call == null ? extended : extended.with(CALL_HEADER, call);
    }

    private Response refusal() {
        return error(503, "overloaded").with(OUTCOME_HEADER, "not-run").with(LOAD_HEADER, "1000");
    }

    int loadPermille() {
        return Math.min(1000, counters.running() * 1000 / settings.slots());
    }

    void callEnded() {
        counters.callEnded();
        listener.callEnded();
    }

    void callCancelled() {
        counters.callCancelled();
        listener.callEnded();
    }

    void setBehaviour(Behaviour changed) {
        behaviour = changed;
        pausableRunner.setFrozen(changed.frozen());
    }

    Behaviour behaviour() {
        return behaviour;
    }

    CallCounters counters() {
        return counters;
    }

    PausableRunner pausableRunner() {
        return pausableRunner;
    }

    private Response changeBehaviour(FullHttpRequest request) {
        try {
            setBehaviour(MAPPER.readValue(request.content().toString(StandardCharsets.UTF_8), Behaviour.class));
            return json(behaviour);
        } catch (JsonProcessingException e) {
            return error(400, "syntax");
        }
    }

    private Response drain(FullHttpRequest request) {
        listener.drain();
        return Response.json(200, "{}");
    }

    private static long parseDeadline(String header) {
        return header == null ? Long.MAX_VALUE : Long.parseLong(header);
    }

    private static Response error(int status, String code) {
        return Response.json(status, "{\"code\":\"" + code + "\"}");
    }

    private static Response json(Record body) {
        try {
            return Response.json(200, MAPPER.writeValueAsString(body));
        } catch (JsonProcessingException e) {
            // Records of strings, numbers and maps can always be serialized.
            throw new AssertionError(e);
        }
    }
}
