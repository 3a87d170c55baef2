package org.mimosahinge.bench;

import java.time.Duration;
import java.util.Map;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Region;

/**
 * Two daemons as separate processes: the first accepts calls, the second has a backend server on its VM.
 *
 * @param deployment the processes
 * @param entryMachine VM of the daemon that accepts calls
 * @param backendMachine VM of the backend server
 * @param backendAddress address of the backend server
 */
public record TwoNodeMesh(Deployment deployment, Machine entryMachine, Machine backendMachine, HostPort backendAddress)
        implements AutoCloseable {

    private static final Region REGION = new Region("west");
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);

    /**
     * Starts the mesh and waits until a call succeeds.
     *
     * @return the running mesh
     */
    public static TwoNodeMesh start() {
        Deployment deployment = Deployment.start(REGION);
        try {
            Machine entry = Machine.withFreePorts(new AvailabilityZone("west-a", REGION), "west-a-1");
            Machine server = Machine.withFreePorts(new AvailabilityZone("west-b", REGION), "west-b-1");
            deployment.startDaemon(entry);
            deployment.startDaemon(server);
            deployment.awaitRoster();
            HostPort backend = deployment.startBackend(server, ListingsSection.SERVICE, "v1");
            deployment.submit(entry, ListingsSection.json("\"v1\"", "v1"), 0);
            deployment.awaitInForce(1);
            Await.until(START_TIMEOUT, "a successful call through the mesh", () -> isServingCalls(deployment, entry));
            return new TwoNodeMesh(deployment, entry, server, backend);
        } catch (RuntimeException e) {
            System.err.println(deployment.lastOutputLines());
            deployment.close();
            throw e;
        }
    }

    private static boolean isServingCalls(Deployment deployment, Machine entryMachine) {
        return deployment
                        .http()
                        .get(entryMachine.callerAddress(), "/listings/probe", Map.of())
                        .join()
                        .status()
                == 200;
    }

    @Override
    public void close() {
        deployment.close();
    }
}
