package org.mimosahinge.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.mimosahinge.api.operator.OperatorJson;
import org.mimosahinge.api.operator.Status;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.standin.backend.BackendMain;
import org.mimosahinge.standin.platform.Counters;
import org.mimosahinge.standin.platform.PlatformStandin;

/** A platform stand-in, daemons and backend servers, each running as a separate process. */
public final class Deployment implements AutoCloseable {

    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    private final Path repositoryRoot;
    private final Path directory;
    private final Processes processes;
    private final BenchHttpClient http;
    private final HostPort platformAddress;
    private final Region storeRegion;
    private final Map<Machine, Process> daemons = new LinkedHashMap<>();

    private Deployment(Path repositoryRoot, Path directory, Region storeRegion) {
        this.repositoryRoot = repositoryRoot;
        this.directory = directory;
        this.storeRegion = storeRegion;
        this.processes = Processes.in(directory);
        this.http = BenchHttpClient.create(Duration.ofSeconds(20));
        this.platformAddress = Ports.allocate(1).get(0);
    }

    /**
     * Starts the platform stand-in.
     *
     * @param storeRegion region of the platform's store
     * @return a deployment without daemons
     */
    public static Deployment start(Region storeRegion) {
        Path repositoryRoot =
                Path.of(System.getProperty("mimosahinge.root", "")).toAbsolutePath();
        try {
            Deployment deployment =
                    new Deployment(repositoryRoot, Files.createTempDirectory("mimosahinge-"), storeRegion);
            deployment.startPlatform();
            return deployment;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void startPlatform() {
        processes.startJava("platform", PlatformStandin.class, "--listen=" + platformAddress);
        awaitHttpResponse("platform", platformAddress, "/v1/counters");
    }

    /**
     * Starts the daemon of a VM.
     *
     * @param machine its VM
     */
    public void startDaemon(Machine machine) {
        Path settings = write(machine.id() + ".json", machine.settings(platformAddress, storeRegion));
        daemons.put(
                machine,
                processes.start(machine.id(), List.of(program("mimosahinged"), "--settings", settings.toString())));
    }

    /**
     * Waits until every daemon responds and lists all daemons.
     *
     * @return the VMs
     */
    public List<Machine> awaitRoster() {
        daemons.keySet()
                .forEach(machine -> awaitStatus(
                        machine, "roster of " + daemons.size(), status -> status.nodes() == daemons.size()));
        return List.copyOf(daemons.keySet());
    }

    /**
     * Waits until a version is in force on every daemon according to its own status.
     *
     * @param version the version
     */
    public void awaitInForce(long version) {
        daemons.keySet()
                .forEach(machine -> awaitStatus(
                        machine,
                        "version " + version + " in force",
                        status -> status.ready() && status.version() >= version));
    }

    private void awaitStatus(Machine machine, String description, Predicate<Status> condition) {
        Await.until(START_TIMEOUT, description + " on " + machine.id(), () -> {
            processes.checkAlive();
            return http.status(machine).filter(condition).isPresent();
        });
    }

    /**
     * Starts a backend server on the VM of a daemon and waits until it responds.
     *
     * @param machine the VM
     * @param service its service
     * @param version its version
     * @param options further options of {@link BackendMain}
     * @return its address
     */
    public HostPort startBackend(Machine machine, String service, String version, String... options) {
        HostPort address = Ports.allocate(1).get(0);
        String name = service + "-" + version + "-" + machine.id();
        List<String> arguments = new ArrayList<>(List.of(
                "--service=" + service,
                "--version=" + version,
                "--listen=" + address,
                "--node=" + machine.operatorAddress(),
                "--minimum-drain-ms=1000"));
        arguments.addAll(List.of(options));
        processes.startJava(name, BackendMain.class, arguments.toArray(String[]::new));
        awaitHttpResponse(name, address, "/_standin/stats");
        return address;
    }

    private void awaitHttpResponse(String name, HostPort address, String uri) {
        Await.result(START_TIMEOUT, "a response from " + name, () -> {
            processes.checkAlive();
            return http.fetchBody(address, uri);
        });
    }

    /**
     * Submits a section with the command-line client and waits until it is in force on all nodes.
     *
     * @param machine the VM of the daemon that the client connects to
     * @param section the section
     * @param base revision that the submission is based on
     * @return the client's output
     */
    public String submit(Machine machine, String section, long base) {
        Path file = write("section-" + base + ".json", section);
        return processes.run(
                "client-" + base,
                List.of(
                        program("mimosahinge"),
                        "submit",
                        file.toString(),
                        "--base",
                        Long.toString(base),
                        "--wait",
                        "--timeout",
                        START_TIMEOUT.toSeconds() + "s",
                        "--node",
                        machine.operatorAddress().toString()));
    }

    /**
     * Writes a file into the working directory of this deployment.
     *
     * @param name file name
     * @param content file content
     * @return the file
     */
    public Path write(String name, String content) {
        try {
            return Files.writeString(directory.resolve(name), content);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the HTTP client for requests to the processes of this deployment.
     *
     * @return the client
     */
    public BenchHttpClient http() {
        return http;
    }

    /**
     * Reads the platform's counters of requests and bytes.
     *
     * @return the counts since its start
     */
    public Counters platformCounters() {
        return OperatorJson.decode(
                Counters.class, http.fetchBody(platformAddress, "/v1/counters").orElseThrow());
    }

    /**
     * Returns the process of a daemon.
     *
     * @param machine its VM
     * @return the process
     */
    public Process daemonProcess(Machine machine) {
        return daemons.get(machine);
    }

    /**
     * Stops every daemon gracefully.
     *
     * @return exit statuses by VM
     */
    public Map<Machine, Integer> stopDaemons() {
        Map<Machine, Integer> statuses = new LinkedHashMap<>();
        daemons.forEach((machine, process) -> statuses.put(machine, processes.stop(process)));
        daemons.clear();
        return statuses;
    }

    /**
     * Collects the last lines of output of the running processes.
     *
     * @return the lines of each process below its name
     */
    public String lastOutputLines() {
        return processes.lastOutputLines();
    }

    private String program(String name) {
        return repositoryRoot.resolve("bin").resolve(name).toString();
    }

    @Override
    public void close() {
        processes.close();
        http.close();
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
