import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A machine of the platform: the settings file, and the node process that the deploy file starts there. */
final class Machine implements AutoCloseable {

    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z.]+)\\|json}}");
    private static final int READY_TIMEOUT_MS = 20_000;

    private final Path folder;
    private final Record record;
    private final Map<String, Object> fields = new LinkedHashMap<>();
    private final String name;
    private Process process;
    private int starts;

    Machine(Path folder, String name, String host, String zone, String service, String store, Record record)
            throws IOException {
        this.folder = folder;
        this.name = name;
        this.record = record;
        int[] ports = freePorts(host, 6);
        fields.put("node", name);
        fields.put("zone", zone);
        fields.put("region", "region-1");
        fields.put("service", service);
        fields.put("appAddr", host + ":" + ports[0]);
        fields.put("listen.outbound", host + ":" + ports[1]);
        fields.put("listen.inbound", host + ":" + ports[2]);
        fields.put("listen.ready", host + ":" + ports[3]);
        fields.put("listen.control", host + ":" + ports[4]);
        fields.put("ip", host);
        fields.put("metricsPort", ports[5]);
        fields.put("cloudPlatform.address", store);
        fields.put("heartbeatS", 0.87);
        // The bounds of the sheet of the chain wax deployment.
        Map<String, Object> bounds = new LinkedHashMap<>();
        bounds.put("contactS", 3);
        bounds.put("ackS", 4);
        bounds.put("drainS", 2);
        bounds.put("graceS", 6);
        bounds.put("configApplyS", 2);
        bounds.put("retryBudgetRatio", 0.2);
        bounds.put("budgetWindowS", 10);
        bounds.put("retryBudgetSlack", 64);
        fields.put("bounds", bounds);
        writeSettings();
    }

    private static int[] freePorts(String host, int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets[i] = new ServerSocket(0, 1, InetAddress.getByName(host));
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    String name() {
        return name;
    }

    String outbound() {
        return (String) fields.get("listen.outbound");
    }

    String control() {
        return (String) fields.get("listen.control");
    }

    String host() {
        return (String) fields.get("ip");
    }

    int appPort() {
        String address = (String) fields.get("appAddr");
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    private Path settings() {
        return folder.resolve(name + ".json");
    }

    /** Renders the template of the deploy file, as the platform does at each start and each change. */
    private void writeSettings() throws IOException {
        String template = Files.readString(Path.of("deploy/node.json.template"))
                .replace("9464", String.valueOf(fields.get("metricsPort")));
        Matcher matcher = PLACEHOLDER.matcher(template);
        StringBuilder text = new StringBuilder();
        while (matcher.find()) {
            matcher.appendReplacement(text, Matcher.quoteReplacement(Json.text(fields.get(matcher.group(1)))));
        }
        matcher.appendTail(text);
        Path written = folder.resolve(name + ".json.new");
        Files.writeString(written, text);
        Files.move(written, settings(), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Changes a field of the settings and renders the file anew; sends no signal. */
    void change(String field, Object value) throws IOException {
        fields.put(field, value);
        writeSettings();
        record.add("settings_changed", "machine", name, "field", field, "value", value);
    }

    /** Starts the process with the line of the deploy file. */
    Machine start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no line 'run' in deploy/system.toml");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("MIMOSAHINGE_SETTINGS", settings().toString());
        File log = folder.resolve(name + "." + ++starts + ".log").toFile();
        process = builder.redirectErrorStream(true).redirectOutput(log).start();
        record.add("start", "machine", name, "pid", process.pid());
        return this;
    }

    boolean ready() {
        try {
            Http.Request request =
                    new Http.Request("GET", "/readiness", Map.of("Host", "node"), new byte[0]);
            return Http.send((String) fields.get("listen.ready"), request, 1_000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady() throws IOException, InterruptedException {
        long endMs = record.nowMs() + READY_TIMEOUT_MS;
        while (!ready()) {
            if (record.nowMs() > endMs || !process.isAlive()) {
                throw new IOException("machine " + name + " does not become ready");
            }
            Thread.sleep(50);
        }
        record.add("ready", "machine", name);
    }

    void signal(String signal) throws IOException, InterruptedException {
        record.add("signal", "machine", name, "signal", signal, "pid", process.pid());
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    Process process() {
        return process;
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
