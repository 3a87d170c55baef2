package org.mimosahinge.net.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.platform.ReadResult;
import org.mimosahinge.api.platform.Row;
import org.mimosahinge.api.platform.Transaction;
import org.mimosahinge.api.platform.TransactionResult;

/** Maps the records of the table service to JSON and back; shared by the client and the stand-in. */
public final class PlatformJson {

    /** Path of transactions. */
    public static final String TRANSACTIONS_PATH = "/v1/transactions";

    /** Path of reads. */
    public static final String READS_PATH = "/v1/reads";

    /** Path of objects, followed by the hash. */
    public static final String OBJECTS_PATH = "/v1/objects/";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private PlatformJson() {}

    /** Body of a committed transaction's response. */
    private record CommittedBody(long revision) {}

    /** Body of a conflict's response. */
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
            // Records of strings, numbers and lists always have a JSON form.
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
     * Decodes the result of a transaction that took effect.
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
     * Decodes the result of a transaction whose conditions failed.
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
