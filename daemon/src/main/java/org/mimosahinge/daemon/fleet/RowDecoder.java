package org.mimosahinge.daemon.fleet;

import java.util.Optional;

/** Decodes rows of the platform. */
@FunctionalInterface
public interface RowDecoder {

    /**
     * Decodes one row.
     *
     * @param row the row
     * @return its meaning, empty for a row that means nothing here or cannot be read
     */
    Optional<DecodedRow> decode(StoredRow row);
}
