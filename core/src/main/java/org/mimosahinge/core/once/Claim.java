package org.mimosahinge.core.once;

/**
 * The durable claim on an idempotency key.
 *
 * @param claimer node that runs the call
 * @param operationId identifier of the attempt to claim, unique in the deployment
 * @param request method and URI, so that a key cannot return the outcome of a different request
 * @param state whether the outcome is recorded
 * @param status status of the outcome; 0 while it is not recorded
 * @param contentType content type of the outcome, empty without one
 * @param body body of the outcome as Base64, empty when it was not recorded
 */
public record Claim(
        String claimer, String operationId, String request, State state, int status, String contentType, String body) {

    /** State of the claimed call. */
    public enum State {
        /** The key is claimed; the call may or may not have run. */
        CLAIMED,
        /** The call ran and its outcome is recorded. */
        DONE
    }

    /**
     * Creates a claim, which is written before the call is forwarded.
     *
     * @param claimer the claiming node
     * @param operationId identifier of this attempt to claim
     * @param request method and URI
     * @return the claim
     */
    public static Claim of(String claimer, String operationId, String request) {
        return new Claim(claimer, operationId, request, State.CLAIMED, 0, "", "");
    }

    /**
     * Returns a copy of the claim with the recorded outcome.
     *
     * @param outcomeStatus status of the response
     * @param outcomeContentType content type, empty without one
     * @param base64Body body as Base64
     * @return the claim with its outcome
     */
    public Claim withOutcome(int outcomeStatus, String outcomeContentType, String base64Body) {
        return new Claim(claimer, operationId, request, State.DONE, outcomeStatus, outcomeContentType, base64Body);
    }
}
