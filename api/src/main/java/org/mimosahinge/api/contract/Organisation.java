package org.mimosahinge.api.contract;

import java.util.Optional;
import java.util.Set;

/**
 * An organisation whose callers authenticate with API keys.
 *
 * @param name unique in the configuration
 * @param keyHashes SHA-256 hashes of its API keys in hexadecimal digits; empty if all were withdrawn
 * @param callClass priority of its calls, empty to use that of the route
 * @param quota limit on its calls over all nodes together
 * @param regions names of the regions in which its calls may be served and stored, empty for all regions
 */
public record Organisation(
        String name, Set<String> keyHashes, Optional<CallClass> callClass, Quota quota, Set<String> regions) {

    /** Makes immutable copies of the collections. */
    public Organisation {
        keyHashes = Set.copyOf(keyHashes);
        regions = Set.copyOf(regions);
    }
}
