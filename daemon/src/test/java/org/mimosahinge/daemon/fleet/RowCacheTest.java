package org.mimosahinge.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.platform.StorePosition;

/** Guards against rows that are dropped, or go back, when the platform comes back from an older copy. */
class RowCacheTest {

    private static StoredRow row(String text) {
        String[] parts = text.split("[.:]", -1);
        return new StoredRow(
                "op/rollout/shop",
                new StorePosition(Long.parseLong(parts[0]), Long.parseLong(parts[1])),
                parts[2].getBytes(StandardCharsets.UTF_8),
                parts[2].isEmpty());
    }

    @ParameterizedTest(name = "held {0}, next {1}: newest {2}")
    @CsvSource({
        "1.5:a, 1.6:b, b",
        "1.5:a, 1.4:b, a",
        "1.5:a, 1.5:b, a",
        // Versions are given out again.
        "1.5:a, 2.4:b, b",
        "1.5:a, 2.5:b, b",
        "1.4:a 1.5:b, 2.4:c, c",
        "1.5:a, 3.1:b, b",
        "2.4:a, 1.9:b, a",
        // An earlier write that the copy still has must not replace a later one.
        "1.4:a 1.5:b, 2.4:a, b",
        "1.4:a 1.5:, 2.4:a, ''",
        "1.3:a 1.4:b 1.5:c, 2.3:a, c",
        "1.3:a 1.4:b 2.4:b 2.5:c, 3.3:a, c",
        // The copy has the newest write, or the operator writes an earlier content on purpose.
        "1.4:a 1.5:b, 2.5:b, b",
        "1.4:a 1.5:b, 2.6:a, a"
    })
    void laterEraAndLaterWriteWin(String held, String next, String newest) {
        RowCache cache = new RowCache();
        Stream.concat(Stream.of(held.split(" ", -1)), Stream.of(next))
                .map(RowCacheTest::row)
                .filter(row -> !cache.isReplacedCopy(row))
                .forEach(cache::add);
        StoredRow result = cache.newestRows().iterator().next();
        assertEquals(newest, new String(result.content(), StandardCharsets.UTF_8));
        assertEquals(
                Optional.of(newest),
                cache.content(result.key(), result.revision())
                        .map(content -> new String(content, StandardCharsets.UTF_8)));
    }
}
