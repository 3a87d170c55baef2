package org.mimosahinge.daemon.traffic;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.mimosahinge.api.error.CompletionFailures;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.platform.Condition;
import org.mimosahinge.api.platform.Put;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.platform.Row;
import org.mimosahinge.api.platform.Transaction;
import org.mimosahinge.api.platform.TransactionResult;
import org.mimosahinge.core.once.Claim;
import org.mimosahinge.core.once.ClaimPolicy;
import org.mimosahinge.core.once.ClaimStep;
import org.mimosahinge.net.frame.Frame;

/** Holds the durable claim of one at-most-once call. */
final class OnceGuard {

    static final String KEY_HEADER = "idempotency-key";

    /** Larger outcomes are not recorded; confirmations are small and the table is not a store for pages. */
    private static final int MAX_RECORDED_BYTES = 16 * 1024;

    private static final int MAX_KEY_LENGTH = 200;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final TrafficLoop loop;
    private final String row;
    private final Claim mine;
    private final ByteArrayOutputStream recorded = new ByteArrayOutputStream();
    private long revision;
    private Frame.ResponseStart response;

    OnceGuard(TrafficLoop loop, String service, String key, CallRequest request) {
        this.loop = loop;
        row = "claim/" + service + "/" + key;
        mine = Claim.of(
                loop.context().config().self().id().value(),
                UUID.randomUUID().toString(),
                request.method() + " " + request.uri());
    }

    static boolean valid(String key) {
        return !key.isEmpty()
                && key.length() <= MAX_KEY_LENGTH
                && key.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '/');
    }

    /** Claims the key; the step arrives on the event loop. */
    void claim(Consumer<ClaimStep> next) {
        Transaction claim =
                new Transaction(List.of(new Condition(row, 0)), List.of(new Put(row, write(mine))), List.of());
        settle(loop.context().table().commit(claim), (result, failure) -> {
            if (result instanceof TransactionResult.Committed committed) {
                revision = committed.revision();
                next.accept(new ClaimStep.Forward());
            } else if (result instanceof TransactionResult.Conflict conflict) {
                next.accept(found(conflict.rows().stream()
                        .filter(candidate -> candidate.key().equals(row))
                        .findFirst()));
            } else if (ClaimPolicy.afterWriteFailure(failure) instanceof ClaimStep.ReadBack) {
                readBack(next);
            } else {
                next.accept(ClaimPolicy.afterWriteFailure(failure));
            }
        });
    }

    private void readBack(Consumer<ClaimStep> next) {
        settle(
                loop.context().table().read(new ReadRequest(List.of(row), List.of())),
                (result, failure) ->
                        next.accept(result == null ? ClaimPolicy.afterReadFailure() : found(result.row(row))));
    }

    private ClaimStep found(Optional<Row> existing) {
        ClaimStep step = ClaimPolicy.afterRead(mine, existing.map(known -> read(known.value())));
        if (step instanceof ClaimStep.Forward) {
            revision = existing.orElseThrow().revision();
        }
        return step;
    }

    /** Frees the key because the call certainly did not run; while that fails, the key stays blocked. */
    void notRun() {
        update(new Transaction(List.of(new Condition(row, revision)), List.of(), List.of(row)));
    }

    void started(Frame.ResponseStart start) {
        response = start;
    }

    /** Collects the outcome and records it when the response is complete. */
    void body(byte[] bytes, boolean last) {
        if (recorded.size() <= MAX_RECORDED_BYTES) {
            recorded.writeBytes(bytes);
        }
        if (last && recorded.size() <= MAX_RECORDED_BYTES) {
            Claim done = mine.withOutcome(
                    response.status(),
                    response.headers().getOrDefault("content-type", ""),
                    Base64.getEncoder().encodeToString(recorded.toByteArray()));
            update(new Transaction(
                    List.of(new Condition(row, revision)), List.of(new Put(row, write(done))), List.of()));
        }
    }

    private void update(Transaction transaction) {
        if (revision > 0) {
            // Without effect the claim stays without outcome, which later calls see as unknown.
            settle(loop.context().table().commit(transaction), (result, failure) -> {});
        }
    }

    /** Answers with a recorded outcome. */
    static void answer(Claim claim, CallerSink sink) {
        byte[] content = Base64.getDecoder().decode(claim.body());
        Map<String, String> headers = new HashMap<>();
        headers.put("content-length", Integer.toString(content.length));
        headers.put(HeaderMaps.OUTCOME, "recorded");
        if (!claim.contentType().isEmpty()) {
            headers.put("content-type", claim.contentType());
        }
        sink.started(new Frame.ResponseStart(0, claim.status(), headers, content.length, Frame.Load.UNKNOWN));
        sink.body(content, true);
        sink.flush();
    }

    private <T> void settle(CompletionStage<T> stage, BiConsumer<T, ErrorCode> then) {
        stage.whenComplete((result, failure) -> loop.eventLoop()
                .execute(() -> then.accept(result, failure == null ? null : CompletionFailures.errorCode(failure))));
    }

    private static String write(Claim claim) {
        try {
            return JSON.writeValueAsString(claim);
        } catch (JsonProcessingException e) {
            // A claim consists of strings and numbers, which always have a JSON form.
            throw new AssertionError(e);
        }
    }

    private Claim read(String value) {
        try {
            return JSON.readValue(value, Claim.class);
        } catch (JsonProcessingException e) {
            // A claim that this release cannot read still means that the call may have run.
            return Claim.of("", "", mine.request());
        }
    }
}
