package org.mimosahinge.standin.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;

/** Decides the answer to each request by the server's behaviour; used by one thread. */
final class BackendCalls {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String KEY_HEADER = "idempotency-key";
    private static final String CALL_HEADER = "x-call";
    private static final String DEADLINE_HEADER = "x-deadline-ms";
    private static final String OUTCOME_HEADER = "x-mimosahinge-outcome";
    private static final String LOAD_HEADER = "x-load";

    private final BackendSettings settings;
    private final Events events;
    private final SplittableRandom random;
    private final CallCounters counters = new CallCounters();
    private final FreezeGate gate = new FreezeGate();
    private final Map<String, Function<FullHttpRequest, Reply>> controls = Map.of(
            "PUT /_standin/behaviour", this::changeBehaviour,
            "GET /_standin/stats", request -> json(counters.stats()),
            "POST /_standin/drain", this::drain);
    private Behaviour behaviour;

    BackendCalls(BackendSettings settings, Behaviour behaviour, Events events) {
        this.settings = settings;
        this.events = events;
        this.random = new SplittableRandom(settings.seed());
        behave(behaviour);
    }

    /** What a request may cause beyond its response. */
    interface Events {
        /** Ends the server without finishing any call. */
        void crash();

        /** Starts a graceful stop. */
        void drain();

        /** A call ended in any way. */
        void callEnded();

        /** Returns how long the server stays cold, in milliseconds. */
        long coldMs();
    }

    /** What became of a request. */
    enum Kind {
        /** Controls the stand-in; answered even while it is frozen. */
        CONTROL,
        /** Refused without running. */
        REFUSED,
        /** Runs until its response is complete. */
        RUN
    }

    /** A response and when it is sent. */
    record Answer(Reply reply, Kind kind, long delayMs, long truncateAfter) {}

    Answer answer(FullHttpRequest request) {
        Function<FullHttpRequest, Reply> control =
                controls.get(request.method() + " " + new QueryStringDecoder(request.uri()).path());
        if (control != null) {
            return new Answer(control.apply(request), Kind.CONTROL, 0, 0);
        }
        if (!behaviour.crashMarker().isEmpty() && request.uri().contains(behaviour.crashMarker())) {
            events.crash();
        }
        if (behaviour.shedAbove() > 0 && counters.running() >= behaviour.shedAbove()) {
            counters.shed();
            return new Answer(refusal(), Kind.REFUSED, 0, 0);
        }
        counters.began(request.headers().get(KEY_HEADER));
        long delayMs = Math.max(behaviour.latencyMs(), events.coldMs());
        long deadlineMs = parseDeadline(request.headers().get(DEADLINE_HEADER));
        Reply reply = delayMs > deadlineMs ? error(504, "deadline_exceeded") : run(request);
        return new Answer(
                describe(reply, request), Kind.RUN, Math.min(delayMs, deadlineMs), behaviour.truncateAfterBytes());
    }

    private Reply run(FullHttpRequest request) {
        if (behaviour.errorPermille() > 0 && random.nextInt(1000) < behaviour.errorPermille()) {
            return error(500, "internal");
        }
        if (Downloads.matches(request)) {
            return Downloads.answer(settings.service(), request);
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

    /** Body that tells what the server saw. */
    private record Echo(String service, String version, String method, String path, String call, int bodyBytes) {}

    private Reply describe(Reply reply, FullHttpRequest request) {
        String call = request.headers().get(CALL_HEADER);
        Reply described = reply.with("x-service", settings.service())
                .with("x-version", settings.version())
                .with(LOAD_HEADER, Integer.toString(loadPermille()));
        return call == null ? described : described.with(CALL_HEADER, call);
    }

    private Reply refusal() {
        return error(503, "overloaded").with(OUTCOME_HEADER, "not-run").with(LOAD_HEADER, "1000");
    }

    int loadPermille() {
        return Math.min(1000, counters.running() * 1000 / settings.slots());
    }

    void ended() {
        counters.ended();
        events.callEnded();
    }

    void cancelled() {
        counters.cancelled();
        events.callEnded();
    }

    void behave(Behaviour changed) {
        behaviour = changed;
        gate.set(changed.frozen());
    }

    Behaviour behaviour() {
        return behaviour;
    }

    CallCounters counters() {
        return counters;
    }

    FreezeGate gate() {
        return gate;
    }

    private Reply changeBehaviour(FullHttpRequest request) {
        try {
            behave(MAPPER.readValue(request.content().toString(StandardCharsets.UTF_8), Behaviour.class));
            return json(behaviour);
        } catch (JsonProcessingException e) {
            return error(400, "syntax");
        }
    }

    private Reply drain(FullHttpRequest request) {
        events.drain();
        return Reply.json(200, "{}");
    }

    private static long parseDeadline(String header) {
        return header == null ? Long.MAX_VALUE : Long.parseLong(header);
    }

    private static Reply error(int status, String code) {
        return Reply.json(status, "{\"code\":\"" + code + "\"}");
    }

    private static Reply json(Record body) {
        try {
            return Reply.json(200, MAPPER.writeValueAsString(body));
        } catch (JsonProcessingException e) {
            // Records of strings, numbers and maps always have a JSON form.
            throw new AssertionError(e);
        }
    }
}
