package org.mimosahinge.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.ServiceShare;

/**
 * Guards against routes of external callers that are taken for internal checks, which may wait until their deadline.
 */
class InternalCheckDetectorTest {

    @ParameterizedTest(name = "targets/timeouts {0} ms: {1}")
    @CsvSource({
        "100/250 100/250 300/1000 400/1200 300/2000 1000/1000, '[r0, r1]'",
        "120/400 120/400 400/800 500/1000 400/1500, '[r0, r1]'",
        "336/1090 336/1090 1064/3000 1273/4000 1109/6000, '[r0, r1]'",
        "236/708 236/708 640/1500 836/2000 907/4000, '[r0, r1]'",
        "300/1000 400/1200 1000/1000, []",
        "300/1000 400/1200 500/2000, []",
        "1000/1000 100/100, []",
        "300/1000, []"
    })
    void onlyRoutesWithFarLowerTargetsAreInternalChecks(String targets, String expected) {
        List<Route> routes = new ArrayList<>();
        for (String pair : targets.split(" ", -1)) {
            String[] parts = pair.split("/", -1);
            routes.add(Route.builder("r" + routes.size())
                    .shares(List.of(new ServiceShare("s", 1)))
                    .latency(Duration.ofMillis(Long.parseLong(parts[1])), Duration.ofMillis(Long.parseLong(parts[0])))
                    .attempts(2, true)
                    .build());
        }
        assertEquals(expected, new TreeSet<>(InternalCheckDetector.detectRoutes(routes)).toString());
    }
}
