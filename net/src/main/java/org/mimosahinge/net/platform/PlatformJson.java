package org.mimosahinge.net.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.platform.ReadResult;
import org.mimosahinge.api.platform.Row;
import org.mimosahinge.api.platform.Transaction;
import org.mimosahinge.api.platform.TransactionResult;

/** JSON encoding of the table service's messages, shared by the client and the stand-in of the platform. */
public final class PlatformJson {

    /** Path of the transaction endpoint. */
    public static final String TRANSACTIONS_PATH = "/v1/transactions";

    /** Path of the read endpoint. */
    public static final String READS_PATH = "/v1/reads";

    /** Path prefix of objects, followed by the object's hash. */
    public static final String OBJECTS_PATH = "/v1/objects/";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private PlatformJson() {}

    /** Response body for a committed transaction. */
    private record CommittedBody(long revision) {}

    /** Response body for a transaction that failed with a conflict. */
    private record ConflictBody(String code, List<Row> rows) {}

    /**
     * Encodes a transaction, a read or the result of a read.
     *
     * @param message the record
     * @return the JSON text
     */
    public static String encode(Record message) {
        try {
            return MAPPER.writeValueAsString(message);
        } catch (JsonProcessingException e) {
            // Cannot happen: records that consist of strings, numbers and lists can always be written as JSON.
            throw new AssertionError(e);
        }
    }

    /**
     * Encodes the result of a transaction.
     *
     * @param result the result
     * @return the JSON text
     */
    public static String encode(TransactionResult result) {
        if (result instanceof TransactionResult.Conflict conflict) {
            return encode(new ConflictBody("conflict", conflict.rows()));
        }
        return encode(new CommittedBody(((TransactionResult.Committed) result).revision()));
    }

    /**
     * Decodes a transaction.
     *
     * @param json the JSON text
     * @return the transaction
     * @throws JsonProcessingException when the text is not a transaction
     */
    public static Transaction decodeTransaction(String json) throws JsonProcessingException {
        return MAPPER.readValue(json, Transaction.class);
    }

    /**
     * Decodes a read.
     *
     * @param json the JSON text
     * @return the read
     * @throws JsonProcessingException when the text is not a read
     */
    public static ReadRequest decodeReadRequest(String json) throws JsonProcessingException {
        return MAPPER.readValue(json, ReadRequest.class);
    }

    /**
     * Decodes the result of a read.
     *
     * @param json the JSON text
     * @return the result
     * @throws JsonProcessingException when the text is not the result of a read
     */
    public static ReadResult decodeReadResult(String json) throws JsonProcessingException {
        return MAPPER.readValue(json, ReadResult.class);
    }

    /**
     * Decodes the result of a committed transaction.
     *
     * @param json the JSON text
     * @return the result
     * @throws JsonProcessingException when the text is not such a result
     */
    public static TransactionResult decodeCommitted(String json) throws JsonProcessingException {
        return new TransactionResult.Committed(
                MAPPER.readValue(json, CommittedBody.class).revision());
    }

    /**
     * Decodes the result of a transaction that failed because its preconditions did not hold.
     *
     * @param json the JSON text
     * @return the result
     * @throws JsonProcessingException when the text is not such a result
     */
    public static TransactionResult decodeConflict(String json) throws JsonProcessingException {
        return new TransactionResult.Conflict(
                MAPPER.readValue(json, ConflictBody.class).rows());
    }
}
