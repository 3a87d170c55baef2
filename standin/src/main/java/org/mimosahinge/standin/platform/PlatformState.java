package org.mimosahinge.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.mimosahinge.api.platform.ObjectHash;
import org.mimosahinge.api.platform.TransactionResult;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.http.HttpMessageResponse;
import org.mimosahinge.net.platform.PlatformJson;

/** Executes requests on rows and objects; confined to one thread. */
final class PlatformState {

    private final TableState table = new TableState();
    private final Map<ObjectHash, byte[]> objects = new HashMap<>();
    private final Map<String, Operation> operations = Map.of(
            "POST " + PlatformJson.TRANSACTIONS_PATH, new Operation(true, this::commit),
            "POST " + PlatformJson.READS_PATH, new Operation(false, this::read),
            "PUT " + PlatformJson.OBJECTS_PATH, new Operation(true, this::putObject),
            "GET " + PlatformJson.OBJECTS_PATH, new Operation(false, this::getObject));

    /** Executes one request. */
    @FunctionalInterface
    interface Execution {
        HttpMessageResponse execute(HttpMessageRequest request) throws JsonProcessingException;
    }

    /** A supported request and whether it writes. */
    record Operation(boolean write, Execution execution) {

        HttpMessageResponse execute(HttpMessageRequest request) {
            try {
                return execution.execute(request);
            } catch (JsonProcessingException e) {
                return error(400, "syntax", "Request body is malformed");
            }
        }
    }

    Operation operation(HttpMessageRequest request) {
        String path = request.path().startsWith(PlatformJson.OBJECTS_PATH) ? PlatformJson.OBJECTS_PATH : request.path();
        return operations.getOrDefault(
                request.method() + ' ' + path,
                new Operation(false, unknown -> error(404, "not_found", "No such operation")));
    }

    private HttpMessageResponse commit(HttpMessageRequest request) throws JsonProcessingException {
        TransactionResult result = table.commit(PlatformJson.decodeTransaction(text(request)));
        int status = result instanceof TransactionResult.Committed ? 200 : 409;
        return HttpMessageResponse.json(status, PlatformJson.encode(result));
    }

    private HttpMessageResponse read(HttpMessageRequest request) throws JsonProcessingException {
        return HttpMessageResponse.json(
                200, PlatformJson.encode(table.read(PlatformJson.decodeReadRequest(text(request)))));
    }

    private HttpMessageResponse putObject(HttpMessageRequest request) {
        ObjectHash hash = hash(request);
        if (!ObjectHash.of(request.body()).equals(hash)) {
            return error(400, "object_corrupt", "Content does not match the hash");
        }
        objects.put(hash, request.body());
        return HttpMessageResponse.json(200, "{}");
    }

    private HttpMessageResponse getObject(HttpMessageRequest request) {
        byte[] content = objects.get(hash(request));
        return content == null
                ? error(404, "not_found", "No such object")
                : new HttpMessageResponse(200, Map.of("content-type", "application/octet-stream"), content);
    }

    private static ObjectHash hash(HttpMessageRequest request) {
        return new ObjectHash(request.path().substring(PlatformJson.OBJECTS_PATH.length()));
    }

    private static String text(HttpMessageRequest request) {
        return new String(request.body(), StandardCharsets.UTF_8);
    }

    static HttpMessageResponse error(int status, String code, String message) {
        return HttpMessageResponse.json(status, "{\"code\":\"" + code + "\",\"message\":\"" + message + "\"}");
    }
}
