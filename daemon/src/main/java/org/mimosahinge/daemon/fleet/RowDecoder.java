package org.mimosahinge.daemon.fleet;

import java.util.Optional;

/** Decodes platform rows. */
@FunctionalInterface
public interface RowDecoder {

    /**
     * Decodes a row.
     *
     * @param row the row
     * @return its content, or empty if the row is of no use here or invalid; for a removed row what its removal means,
     *     or empty if it changes nothing
     */
    Optional<DecodedRow> decode(StoredRow row);
}
