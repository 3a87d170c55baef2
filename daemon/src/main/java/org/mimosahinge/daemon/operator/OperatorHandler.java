package org.mimosahinge.daemon.operator;

import java.io.UncheckedIOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;
import java.util.function.Supplier;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.document.SectionParser;
import org.mimosahinge.api.error.CallException;
import org.mimosahinge.api.error.CompletionFailures;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.operator.DocumentView;
import org.mimosahinge.api.operator.EndpointList;
import org.mimosahinge.api.operator.ErrorBody;
import org.mimosahinge.api.operator.MoveList;
import org.mimosahinge.api.operator.OperatorJson;
import org.mimosahinge.api.operator.Status;
import org.mimosahinge.api.operator.Submission;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.daemon.control.ControlPlane;
import org.mimosahinge.net.http.HttpMessageHandler;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.http.HttpMessageResponse;

/** Handles requests on the operator port. */
public final class OperatorHandler implements HttpMessageHandler {

    private static final String SECTIONS_PATH = "/v1/sections/";
    private static final String ENDPOINTS_PATH = "/v1/endpoints/";
    private static final String DRAIN_SUFFIX = "/drain";

    private final Node self;
    private final ControlPlane control;
    private final Supplier<Snapshot> snapshots;
    private final Map<String, Function<HttpMessageRequest, CompletionStage<HttpMessageResponse>>>
            handlersByMethodAndPath;

    /**
     * Creates the handler.
     *
     * @param self the node
     * @param control its control state
     * @param snapshots the configuration in force
     * @param metrics returns the metrics in text format
     */
    public OperatorHandler(Node self, ControlPlane control, Supplier<Snapshot> snapshots, Supplier<String> metrics) {
        this.self = self;
        this.control = control;
        this.snapshots = snapshots;
        handlersByMethodAndPath = Map.of(
                "GET /v1/status", request -> control.query(plane -> jsonResponse(200, status(plane))),
                "GET /v1/document", request -> completed(jsonResponse(200, document())),
                "GET /v1/moves", request -> completed(jsonResponse(200, moves())),
                "GET /v1/nodes", request -> control.listNodes().thenApply(nodes -> jsonResponse(200, nodes)),
                "GET /v1/endpoints", request -> completed(jsonResponse(200, endpoints())),
                "GET /metrics", request -> completed(textResponse(metrics.get())),
                "POST /v1/announce", this::announce);
    }

    @Override
    public CompletionStage<HttpMessageResponse> handle(HttpMessageRequest request) {
        try {
            return route(request).exceptionally(OperatorHandler::errorResponse);
        } catch (MimosahingeException | UncheckedIOException | RejectedExecutionException e) {
            return completed(errorResponse(e));
        }
    }

    private CompletionStage<HttpMessageResponse> route(HttpMessageRequest request) {
        var handler = handlersByMethodAndPath.get(request.method() + ' ' + request.path());
        if (handler != null) {
            return handler.apply(request);
        }
        String path = request.path();
        if (request.method().equals("PUT") && path.startsWith(SECTIONS_PATH)) {
            return submit(decodePathPart(path.substring(SECTIONS_PATH.length())), request);
        }
        if (request.method().equals("POST") && path.startsWith(ENDPOINTS_PATH) && path.endsWith(DRAIN_SUFFIX)) {
            return drain(
                    decodePathPart(path.substring(ENDPOINTS_PATH.length(), path.length() - DRAIN_SUFFIX.length())));
        }
        throw CallException.notRun(ErrorCode.NOT_FOUND, "No resource " + request.method() + ' ' + path);
    }

    private CompletionStage<HttpMessageResponse> submit(String team, HttpMessageRequest request) {
        Section section = SectionParser.parse(team, request.body());
        if (!section.team().equals(team)) {
            throw CallException.notRun(
                    ErrorCode.INVALID_VALUE,
                    "Section of team \"" + section.team() + "\" submitted for team \"" + team + "\"");
        }
        return control.submissions()
                .submit(section, baseRevision(request))
                .thenApply(
                        accepted -> jsonResponse(200, new Submission(accepted.version(), accepted.revision(), team)));
    }

    private static long baseRevision(HttpMessageRequest request) {
        String prefix = "base=";
        int query = request.uri().indexOf('?');
        String value = query < 0 ? "" : request.uri().substring(query + 1);
        try {
            return Long.parseLong(value.startsWith(prefix) ? value.substring(prefix.length()) : "");
        } catch (NumberFormatException e) {
            throw CallException.notRun(
                    ErrorCode.INVALID_VALUE,
                    "Query \"" + value + "\" does not give the base revision as base=<number>");
        }
    }

    private CompletionStage<HttpMessageResponse> drain(String endpointId) {
        return control.drainEndpoint(endpointId).thenApply(found -> {
            if (!found) {
                throw CallException.notRun(ErrorCode.NOT_FOUND, "Endpoint \"" + endpointId + "\" is unknown");
            }
            return HttpMessageResponse.json(202, "{}");
        });
    }

    private CompletionStage<HttpMessageResponse> announce(HttpMessageRequest request) {
        Announcement announcement = OperatorJson.decode(Announcement.class, request.body());
        var server = announcement.server();
        var state = announcement.endpointState();
        return control.query(plane -> {
            plane.backendAnnounced(server, state);
            return HttpMessageResponse.json(200, "{}");
        });
    }

    private Status status(ControlPlane plane) {
        Snapshot snapshot = snapshots.get();
        return new Status(
                self.id().value(),
                snapshot.version(),
                snapshot.provenCurrent(),
                plane.nodesInForce(snapshot.version()),
                plane.nodeCount(),
                self.zone().name(),
                self.zone().region().name());
    }

    private DocumentView document() {
        Snapshot snapshot = snapshots.get();
        return new DocumentView(
                snapshot.version(),
                snapshot.sections().values().stream()
                        .map(revised -> new DocumentView.SectionView(
                                revised.section().team(), revised.revision(), revised.section()))
                        .toList());
    }

    private MoveList moves() {
        return new MoveList(snapshots.get().moves().values().stream()
                .map(MoveList.Entry::of)
                .toList());
    }

    private EndpointList endpoints() {
        return new EndpointList(snapshots.get().endpoints().values().stream()
                .flatMap(List::stream)
                .map(EndpointList.Entry::of)
                .toList());
    }

    private static HttpMessageResponse errorResponse(Throwable thrown) {
        Throwable failure = CompletionFailures.unwrap(thrown);
        if (failure instanceof MimosahingeException known) {
            return jsonResponse(known.code().httpStatus(), ErrorBody.of(known));
        }
        ErrorCode code = failure instanceof UncheckedIOException ? ErrorCode.SYNTAX : ErrorCode.INTERNAL;
        return jsonResponse(
                code.httpStatus(), ErrorBody.of(CallException.notRun(code, String.valueOf(failure.getMessage()))));
    }

    private static HttpMessageResponse jsonResponse(int status, Record body) {
        return new HttpMessageResponse(status, Map.of("content-type", "application/json"), OperatorJson.encode(body));
    }

    private static HttpMessageResponse textResponse(String body) {
        return new HttpMessageResponse(
                200, Map.of("content-type", "text/plain; version=0.0.4"), body.getBytes(StandardCharsets.UTF_8));
    }

    private static <T> CompletionStage<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }

    private static String decodePathPart(String pathPart) {
        return URLDecoder.decode(pathPart, StandardCharsets.UTF_8);
    }
}
