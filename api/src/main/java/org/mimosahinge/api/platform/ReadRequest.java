package org.mimosahinge.api.platform;

import java.util.List;

/**
 * A request to read rows from one consistent view.
 *
 * @param keys keys of single rows
 * @param prefixes key prefixes of row ranges
 */
public record ReadRequest(List<String> keys, List<String> prefixes) {
    /** Makes immutable copies of the lists. */
    public ReadRequest {
        keys = List.copyOf(keys);
        prefixes = List.copyOf(prefixes);
    }
}
