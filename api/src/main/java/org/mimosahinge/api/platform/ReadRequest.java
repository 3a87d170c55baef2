package org.mimosahinge.api.platform;

import java.util.List;

/**
 * A read of several rows from one consistent view.
 *
 * @param keys single keys
 * @param prefixes key prefixes
 */
public record ReadRequest(List<String> keys, List<String> prefixes) {
    /** Copies the lists. */
    public ReadRequest {
        keys = List.copyOf(keys);
        prefixes = List.copyOf(prefixes);
    }
}
