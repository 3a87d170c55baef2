import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** Runs one case: exits with 10 if the rule was broken, which no failure of the JVM uses, 0 if it held, else 2. */
public final class Cases {

    private static final int BROKEN = 10;
    private static final int HELD = 0;
    private static final int FAILED = 2;
    private static final double CONTACT_S = 3;
    private static final double DRAIN_S = 2;

    private interface Case {
        boolean broken(Deployment deployment, boolean trouble) throws Exception;
    }

    private Cases() {}

    public static void main(String[] args) throws Exception {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        Path folder = Path.of(args[1]).toAbsolutePath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Case chosen = switch (args[0]) {
            case "long-body" -> Cases::longBody;
            case "departure" -> Cases::departure;
            case "caller-service" -> Cases::callerService;
            case "poison" -> Cases::poison;
            case "early-reset" -> Cases::earlyReset;
            default -> throw new IllegalArgumentException(args[0]);
        };
        Record record = new Record(folder.resolve("record.txt"));
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(110_000);
            } catch (InterruptedException e) {
                return;
            }
            record.line("result: not run, 110 s have passed");
            System.exit(FAILED);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code = FAILED;
        try {
            Deployment deployment = new Deployment(record, folder.getParent().getParent());
            record.line("case " + args[0] + (trouble ? "" : " without the disruption"));
            code = chosen.broken(deployment, trouble) ? BROKEN : HELD;
            for (Node node : deployment.nodes) {
                if (!node.alive()) {
                    record.line("process of " + node.name + " has ended by itself");
                    code = FAILED;
                }
            }
        } catch (Exception | LinkageError e) {
            record.line("not run: " + e + " at " + Arrays.toString(e.getStackTrace()));
        }
        record.line("result: " + (code == BROKEN ? "broken" : code == HELD ? "held" : "not run"));
        System.out.println(args[0] + ": " + (code == BROKEN ? "broken" : code == HELD ? "held" : "not run"));
        System.exit(code);
    }

    /** A long body is posted to a path at which another body has crashed two endpoints. */
    private static boolean longBody(Deployment d, boolean trouble) throws Exception {
        for (int i = 0; i < 3; i++) {
            d.add("ledger");
        }
        byte[] crashing = "crash".getBytes(StandardCharsets.UTF_8);
        d.endpoints.forEach(endpoint -> endpoint.crashOn(request -> Arrays.equals(request.body(), crashing)));
        d.configure("r1", Deployment.route("confirm", "/confirm/", "non_idempotent", "ledger", 3),
                Deployment.service("ledger"));
        d.start("ledger");
        Node node = d.nodes.get(0);
        if (trouble) {
            for (int i = 0; i < 2; i++) {
                String id = d.nextRequestId();
                Client.Answer answer = node.request("POST", Deployment.HOST, "/confirm/7", id, 2_500, crashing, false);
                d.record.line("client at " + node.name + " sent the crashing request, id " + id + " -> " + answer);
                Deployment.sleep(2);
                for (Endpoint endpoint : d.endpoints) {
                    if (endpoint.down()) {
                        endpoint.start("ledger");
                    }
                }
                Deployment.sleep(4);
            }
        }
        boolean broken = false;
        for (int i = 0; i < 6; i++) {
            byte[] body = new byte[100_000 + 10_000 * i];
            new Random(i).nextBytes(body);
            boolean chunked = i % 2 == 0;
            String id = d.nextRequestId();
            Node entry = d.nodes.get(i % d.nodes.size());
            Client.Answer answer = entry.request("POST", Deployment.HOST, "/confirm/7", id, 2_500, body, chunked);
            d.record.line("client at " + entry.name + " sent id " + id + " with " + body.length + " bytes"
                    + (chunked ? " in chunks" : " with a length") + " -> " + answer);
            Deployment.sleep(0.3);
            for (Endpoint endpoint : d.endpoints) {
                for (Endpoint.Run run : endpoint.runs()) {
                    if (run.requestId().equals(id) && !Arrays.equals(run.body(), body)) {
                        d.record.line("UNASKED: id " + id + " was run with a body of " + run.body().length
                                + " bytes, sent were " + body.length);
                        broken = true;
                    }
                }
            }
        }
        return broken;
    }

    /** An endpoint deregisters while the store turns its node away; the node is killed after the store is back. */
    private static boolean departure(Deployment d, boolean trouble) throws Exception {
        for (int i = 0; i < 3; i++) {
            d.add("listings");
        }
        d.configure("r1", Deployment.route("browse", "/browse/", "idempotent", "listings", 1),
                Deployment.service("listings"));
        d.start("listings");
        Node node = d.nodes.get(0);
        Endpoint leaving = d.endpoints.get(0);
        if (trouble) {
            d.store.turnAway(node.name, true);
        }
        Deployment.sleep(1);
        if (!leaving.deregister()) {
            throw new IllegalStateException("the departure was not acknowledged");
        }
        double acknowledgedS = d.record.seconds();
        Deployment.sleep(2);
        if (trouble) {
            d.store.turnAway(node.name, false);
        }
        Deployment.sleep(1.5);
        double inTouchS = d.record.seconds();
        if (trouble) {
            node.kill();
            Deployment.sleep(0.5);
            node.start();
            inTouchS = d.record.seconds() + CONTACT_S;
            d.awaitReady(node);
        }
        double endS = Math.max(inTouchS, d.record.seconds()) + 4;
        while (d.record.seconds() < endS) {
            for (int i = 1; i < 3; i++) {
                String id = d.nextRequestId();
                Node entry = d.nodes.get(i);
                double sentS = d.record.seconds();
                Client.Answer answer =
                        entry.request("GET", Deployment.HOST, "/browse/" + id, id, 2_000, new byte[0], false);
                if (sentS >= inTouchS) {
                    d.record.line("client at " + entry.name + " sent id " + id + " -> " + answer);
                }
            }
            Deployment.sleep(0.02);
        }
        double fromS = Math.max(acknowledgedS + DRAIN_S, inTouchS);
        List<Endpoint.Run> late =
                leaving.runs().stream().filter(run -> run.atS() > fromS + 0.1).toList();
        if (!late.isEmpty()) {
            d.record.line("DRAIN: " + late.size() + " requests reached " + leaving.id() + " from "
                    + (late.get(0).atS() - acknowledgedS) + " s to "
                    + (late.get(late.size() - 1).atS() - acknowledgedS) + " s after its departure was acknowledged");
        }
        return !late.isEmpty();
    }

    /** The settings file of a node names another service; the disruption is that no signal says so. */
    private static boolean callerService(Deployment d, boolean trouble) throws Exception {
        for (int i = 0; i < 3; i++) {
            d.add("listings");
        }
        d.configure("r1", Deployment.route("browse", "/browse/", "idempotent", "listings", 1),
                Deployment.service("listings"), Deployment.service("archive"));
        d.start("listings");
        Node node = d.nodes.get(0);
        Endpoint beside = d.endpoints.get(0);
        beside.deregister();
        Deployment.sleep(2.5);
        beside.crash();
        Deployment.sleep(2);
        node.writeSettings("archive");
        if (!trouble) {
            node.signalSettingsChange();
        }
        beside.start("archive");
        Deployment.sleep(CONTACT_S + 5);
        boolean broken = false;
        for (int i = 0; i < 20; i++) {
            String id = d.nextRequestId();
            Client.Answer answer = node.request("GET", Deployment.HOST, "/browse/" + id, id, 2_000, new byte[0], false);
            d.record.line("client at " + node.name + " sent id " + id + " -> " + answer);
            if (answer.status() != 200) {
                throw new IllegalStateException("not served: " + answer);
            }
            for (Endpoint endpoint : d.endpoints) {
                for (Endpoint.Run run : endpoint.runs()) {
                    if (run.requestId().equals(id) && !run.caller().equals("archive")) {
                        d.record.line("UNASKED: id " + id + " was run with the caller service " + run.caller()
                                + ", the service of its machine is archive");
                        broken = true;
                    }
                }
            }
            Deployment.sleep(0.1);
        }
        return broken;
    }

    /** A request that crashes each endpoint that runs it comes again at other machines. */
    private static boolean poison(Deployment d, boolean trouble) throws Exception {
        for (int i = 0; i < 10; i++) {
            d.add("ledger");
        }
        byte[] crashing = "crash".getBytes(StandardCharsets.UTF_8);
        if (trouble) {
            d.endpoints.forEach(endpoint -> endpoint.crashOn(request -> Arrays.equals(request.body(), crashing)));
        }
        d.configure("r1", Deployment.route("confirm", "/confirm/", "non_idempotent", "ledger", 1.2),
                Deployment.service("ledger"));
        d.start("ledger");
        int crashes = 0;
        double thirdCrashS = Double.MAX_VALUE;
        int late = 0;
        for (Node node : d.nodes) {
            String id = d.nextRequestId();
            double sentS = d.record.seconds();
            Client.Answer answer = node.request("POST", Deployment.HOST, "/confirm/7", id, 2_500, crashing, false);
            d.record.line("client at " + node.name + " sent the request, id " + id + " -> " + answer);
            Deployment.sleep(0.2);
            boolean reached = d.endpoints.stream()
                    .anyMatch(endpoint -> endpoint.runs().stream().anyMatch(run -> run.requestId().equals(id)));
            if (reached && trouble) {
                crashes++;
                if (sentS > thirdCrashS + CONTACT_S) {
                    late++;
                }
                if (crashes == 3) {
                    thirdCrashS = d.record.seconds();
                }
            }
            Deployment.sleep(2);
            for (Endpoint endpoint : d.endpoints) {
                if (endpoint.down()) {
                    endpoint.start("ledger");
                }
            }
            Deployment.sleep(2);
        }
        d.record.line("the request has crashed " + crashes + " endpoints, " + late
                + " of them by retries sent later than contactS after the third crash");
        return late > 3;
    }

    /** An endpoint answers a long request before it is in, without a length, and resets the connection midway. */
    private static boolean earlyReset(Deployment d, boolean trouble) throws Exception {
        for (int i = 0; i < 3; i++) {
            d.add("ledger");
        }
        d.configure("r1", Deployment.route("confirm", "/confirm/", "non_idempotent", "ledger", 3),
                Deployment.service("ledger"));
        d.start("ledger");
        d.endpoints.forEach(endpoint -> endpoint.answerWithoutLength(trouble));
        boolean broken = false;
        for (int i = 0; i < 9; i++) {
            byte[] body = new byte[16_000_000];
            Node entry = d.nodes.get(i % d.nodes.size());
            String id = d.nextRequestId();
            Client.Answer answer = Client.sendWhileReading(entry.ip, entry.callers, 4_000,
                    "POST /confirm/" + id + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Request-Id: " + id
                            + "\r\nX-Deadline-Ms: 2500\r\nContent-Length: " + body.length + "\r\n\r\n",
                    body);
            d.record.line("client at " + entry.name + " sent id " + id + " with " + body.length + " bytes -> " + answer
                    + " body \"" + answer.body() + "\"");
            String whole = Endpoint.wholeAnswer(answer.signature());
            if (answer.status() == 200 && !answer.body().equals(whole)) {
                d.record.line("MIXED: id " + id + " got a success that looks complete, with " + answer.body().length()
                        + " of the " + whole.length() + " bytes of the endpoint's body");
                broken = true;
            }
            if (!trouble && answer.status() != 200) {
                throw new IllegalStateException("not served: " + answer);
            }
            Deployment.sleep(0.5);
        }
        return broken;
    }
}
