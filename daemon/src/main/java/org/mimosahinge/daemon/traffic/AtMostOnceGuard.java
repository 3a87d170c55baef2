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

/** Owns the durable claim on the idempotency key of one at-most-once call. */
final class AtMostOnceGuard {

    static final String KEY_HEADER = "idempotency-key";

    /** Larger responses are not recorded; confirmations are small, and the table is not meant to store whole pages. */
    private static final int MAX_RECORDED_BYTES = 16 * 1024;

    private static final int MAX_KEY_LENGTH = 200;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final TrafficLoop loop;
    private final String claimKey;
    private final Claim ownClaim;
    private final ByteArrayOutputStream recordedBody = new ByteArrayOutputStream();
    private long revision;
    private Frame.ResponseStart responseStart;

    AtMostOnceGuard(TrafficLoop loop, String service, String key, CallRequest request) {
        this.loop = loop;
        claimKey = "claim/" + service + "/" + key;
        ownClaim = Claim.of(
                loop.context().config().self().id().value(),
                UUID.randomUUID().toString(),
                request.method() + " " + request.uri());
    }

    static boolean isValidKey(String key) {
        return !key.isEmpty()
                && key.length() <= MAX_KEY_LENGTH
                && key.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '/');
    }

    /** Claims the key and passes the next step on the event loop of the call. */
    void claim(Consumer<ClaimStep> nextStep) {
        Transaction claim = new Transaction(
                List.of(new Condition(claimKey, 0)), List.of(new Put(claimKey, encode(ownClaim))), List.of());
        completeOnLoop(loop.context().table().commit(claim), (result, failure) -> {
            if (result instanceof TransactionResult.Committed committed) {
                revision = committed.revision();
                nextStep.accept(new ClaimStep.Forward());
            } else if (result instanceof TransactionResult.Conflict conflict) {
                nextStep.accept(found(conflict.rows().stream()
                        .filter(candidate -> candidate.key().equals(claimKey))
                        .findFirst()));
            } else if (ClaimPolicy.afterWriteFailure(failure) instanceof ClaimStep.ReadBack) {
                readBack(nextStep);
            } else {
                nextStep.accept(ClaimPolicy.afterWriteFailure(failure));
            }
        });
    }

    private void readBack(Consumer<ClaimStep> nextStep) {
        completeOnLoop(
                loop.context().table().read(new ReadRequest(List.of(claimKey), List.of())),
                (result, failure) ->
                        nextStep.accept(result == null ? ClaimPolicy.afterReadFailure() : found(result.row(claimKey))));
    }

    private ClaimStep found(Optional<Row> existing) {
        ClaimStep step = ClaimPolicy.afterRead(ownClaim, existing.map(stored -> decode(stored.value())));
        if (step instanceof ClaimStep.Forward) {
            revision = existing.orElseThrow().revision();
        }
        return step;
    }

    /** Deletes the claim because the call did not run; if the deletion fails, the key stays claimed. */
    void notRun() {
        update(new Transaction(List.of(new Condition(claimKey, revision)), List.of(), List.of(claimKey)));
    }

    void started(Frame.ResponseStart start) {
        responseStart = start;
    }

    /** Collects the response body and records the response when it is complete. */
    void body(byte[] bytes, boolean last) {
        if (recordedBody.size() <= MAX_RECORDED_BYTES) {
            recordedBody.writeBytes(bytes);
        }
        if (last && recordedBody.size() <= MAX_RECORDED_BYTES) {
            Claim done = ownClaim.withOutcome(
                    responseStart.status(),
                    responseStart.headers().getOrDefault("content-type", ""),
                    Base64.getEncoder().encodeToString(recordedBody.toByteArray()));
            update(new Transaction(
                    List.of(new Condition(claimKey, revision)), List.of(new Put(claimKey, encode(done))), List.of()));
        }
    }

    private void update(Transaction transaction) {
        if (revision > 0) {
            // If the write fails, the claim stays without a response and later calls get an unknown outcome.
            completeOnLoop(loop.context().table().commit(transaction), (result, failure) -> {});
        }
    }

    /** Sends a recorded response to the caller. */
    static void replay(Claim claim, CallerSink sink) {
        byte[] content = Base64.getDecoder().decode(claim.body());
        Map<String, String> headers = new HashMap<>();
        headers.put("content-length", Integer.toString(content.length));
        headers.put(HeaderMaps.OUTCOME_HEADER, "recorded");
        if (!claim.contentType().isEmpty()) {
            headers.put("content-type", claim.contentType());
        }
        sink.started(new Frame.ResponseStart(0, claim.status(), headers, content.length, Frame.Load.UNKNOWN));
        sink.body(content, true);
        sink.flush();
    }

    private <T> void completeOnLoop(CompletionStage<T> stage, BiConsumer<T, ErrorCode> handler) {
        stage.whenComplete((result, failure) -> loop.eventLoop()
                .execute(() -> handler.accept(result, failure == null ? null : CompletionFailures.errorCode(failure))));
    }

    private static String encode(Claim claim) {
        try {
            return JSON.writeValueAsString(claim);
        } catch (JsonProcessingException e) {
            // A claim has only strings and numbers, which can always be encoded as JSON.
            throw new AssertionError(e);
        }
    }

    private Claim decode(String value) {
        try {
            return JSON.readValue(value, Claim.class);
        } catch (JsonProcessingException e) {
            // The call may have run even if this release cannot decode its claim.
            return Claim.of("", "", ownClaim.request());
        }
    }
}
