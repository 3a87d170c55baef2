package org.mimosahinge.core.poison;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a request that crashes one backend server after another. */
class CrashRegistryTest {

    private static final Fingerprint REQUEST = new Fingerprint("pay", "POST", "/pay", "ab");

    @ParameterizedTest(name = "{0}, queried at {1} ms: refused {2}")
    @CsvSource({
        "crash@0, 1, false",
        "crash@0 crash@10, 11, true",
        "crash@0 crash@10, 600009, true",
        "crash@0 crash@10, 600010, false",
        "crash@0 success@5 crash@10, 11, false",
        "crash@0 crash@600000, 600001, false",
        "refuse@0, 599999, true",
        "refuse@0, 600000, false"
    })
    void requestIsRefusedForTenMinutesAfterItsSecondCrash(String history, long queriedMs, boolean refused) {
        CrashRegistry registry = CrashRegistry.EMPTY;
        for (String event : history.split(" ", -1)) {
            String[] parts = event.split("@", -1);
            long at = Long.parseLong(parts[1]);
            registry = switch (parts[0]) {
                case "crash" -> registry.recordCrash(REQUEST, at);
                case "success" -> registry.recordSuccess(REQUEST);
                default -> registry.refuse(REQUEST, at, at + CrashRegistry.REFUSAL_MS);
            };
        }
        assertEquals(refused, registry.isRefused(REQUEST, queriedMs));
        assertEquals(refused, registry.needsBody("pay", "POST", "/pay", queriedMs));
        assertFalse(registry.needsBody("pay", "POST", "/other", queriedMs));
    }

    @Test
    void numberOfRecordsIsLimited() {
        CrashRegistry registry = CrashRegistry.EMPTY;
        for (int i = 0; i < 1000; i++) {
            registry = registry.recordCrash(new Fingerprint("r", "GET", "/" + i, ""), i);
        }
        assertTrue(registry.records().size() <= 256);
    }
}
