package org.mimosahinge.net.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.mimosahinge.api.error.PlatformException;
import org.mimosahinge.api.platform.ObjectHash;
import org.mimosahinge.api.platform.ObjectStore;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.platform.ReadResult;
import org.mimosahinge.api.platform.TableService;
import org.mimosahinge.api.platform.Transaction;
import org.mimosahinge.api.platform.TransactionResult;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.http.HttpMessageClient;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.http.HttpMessageResponse;

/**
 * HTTP client of the platform's table service and object store.
 *
 * <p>After a failure to connect or a response with status 429 or 503, nothing was written. After any other failure it is
 * unknown whether a write took effect.
 */
public final class PlatformClient implements TableService, ObjectStore {

    private final HttpMessageClient http;
    private final HostPort address;

    private PlatformClient(HttpMessageClient http, HostPort address) {
        this.http = http;
        this.address = address;
    }

    /**
     * Creates a client.
     *
     * @param http client for the requests; it is closed by the caller of this method
     * @param address the platform's address
     * @return the client
     */
    public static PlatformClient create(HttpMessageClient http, HostPort address) {
        return new PlatformClient(http, address);
    }

    /** Decodes the JSON body of a response. */
    @FunctionalInterface
    private interface BodyDecoder<T> {
        T decode(String json) throws JsonProcessingException;
    }

    @Override
    public CompletionStage<TransactionResult> commit(Transaction transaction) {
        String operation = "commit";
        return send(
                        operation,
                        HttpMessageRequest.json(
                                "POST", PlatformJson.TRANSACTIONS_PATH, PlatformJson.encode(transaction)))
                .thenApply(response -> switch (response.status()) {
                    case 200 -> decode(operation, response, PlatformJson::decodeCommitted);
                    case 409 -> decode(operation, response, PlatformJson::decodeConflict);
                    default -> throw unexpectedStatus(operation, response);
                });
    }

    @Override
    public CompletionStage<ReadResult> read(ReadRequest request) {
        String operation = "read";
        return send(operation, HttpMessageRequest.json("POST", PlatformJson.READS_PATH, PlatformJson.encode(request)))
                .thenApply(response ->
                        decode(operation, requireSuccess(operation, response), PlatformJson::decodeReadResult));
    }

    @Override
    public CompletionStage<ObjectHash> put(byte[] content) {
        ObjectHash hash = ObjectHash.of(content);
        String operation = "put of object " + hash;
        HttpMessageRequest request = new HttpMessageRequest("PUT", PlatformJson.OBJECTS_PATH + hash, Map.of(), content);
        return send(operation, request).thenApply(response -> {
            requireSuccess(operation, response);
            return hash;
        });
    }

    @Override
    public CompletionStage<byte[]> get(ObjectHash hash) {
        String operation = "get of object " + hash;
        return send(operation, HttpMessageRequest.get(PlatformJson.OBJECTS_PATH + hash))
                .thenApply(response -> {
                    // Like wrong content, a missing object is a permanent fault of the store that a retry does not
                    // resolve.
                    if (response.status() == 404
                            || !ObjectHash.of(
                                            requireSuccess(operation, response).body())
                                    .equals(hash)) {
                        throw PlatformException.objectCorrupt(hash.hex());
                    }
                    return response.body();
                });
    }

    private CompletionStage<HttpMessageResponse> send(String operation, HttpMessageRequest request) {
        return http.send(address, request).handle((response, failure) -> {
            if (failure != null) {
                throw PlatformFailures.classify(operation, failure);
            }
            if (response.status() == 429 || response.status() == 503) {
                throw PlatformException.unavailable(operation, null);
            }
            return response;
        });
    }

    private static HttpMessageResponse requireSuccess(String operation, HttpMessageResponse response) {
        if (response.status() / 100 != 2) {
            throw unexpectedStatus(operation, response);
        }
        return response;
    }

    private static PlatformException unexpectedStatus(String operation, HttpMessageResponse response) {
        return PlatformException.responseLost(operation + " with status " + response.status(), null);
    }

    private static <T> T decode(String operation, HttpMessageResponse response, BodyDecoder<T> decoder) {
        try {
            return decoder.decode(response.text());
        } catch (JsonProcessingException e) {
            throw PlatformException.responseLost(operation, e);
        }
    }
}
