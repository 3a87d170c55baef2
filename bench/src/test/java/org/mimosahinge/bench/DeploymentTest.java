package org.mimosahinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.mimosahinge.api.document.SettingsParser;
import org.mimosahinge.api.settings.NodeSettings;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Region;

/** Tests the parts of a deployment that need no daemon. */
class DeploymentTest {

    private static final Region REGION = new Region("west");
    private final Machine machine = Machine.withFreePorts(new AvailabilityZone("west-a", REGION), "west-a-1");

    /** Guards against settings files that the daemon rejects. */
    @Test
    void settingsAreAcceptedByDaemon() {
        HostPort platform = new HostPort("127.0.0.1", 1);
        NodeSettings settings = SettingsParser.parse(
                "a.json", machine.settings(platform, REGION).getBytes(StandardCharsets.UTF_8));
        assertEquals(machine.zone(), settings.zone());
        assertEquals(machine.operatorAddress(), settings.operatorAddress());
        assertEquals(platform, settings.platformAddress());
    }

    /** Guards against ports that an outgoing connection or another process of the run binds first. */
    @Test
    void portsAreDistinctAndBelowEphemeralRange() {
        Set<Integer> ports = IntStream.range(0, 10)
                .mapToObj(i -> Ports.allocate(3))
                .flatMap(List::stream)
                .map(HostPort::port)
                .collect(Collectors.toSet());
        assertEquals(30, ports.size());
        assertTrue(ports.stream().allMatch(port -> port < 32_768));
    }

    /** Guards against stand-ins that fail to start as separate processes. */
    @Test
    void startsPlatformAndBackendServers() {
        try (Deployment deployment = Deployment.start(REGION)) {
            HostPort server = deployment.startBackend(machine, "listings", "v1", "--latency-ms=1");
            assertEquals(
                    200, deployment.http().get(server, "/x", Map.of()).join().status());
        }
    }
}
