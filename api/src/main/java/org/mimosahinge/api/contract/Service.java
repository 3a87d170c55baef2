package org.mimosahinge.api.contract;

import java.util.List;
import java.util.Optional;

/**
 * A service with its backend server versions.
 *
 * @param name unique in the document
 * @param versions all backend server versions that may receive traffic
 * @param currentVersion version that receives the traffic before a move and without one
 * @param move requested move, if any
 * @param limits load limits
 */
public record Service(
        String name, List<String> versions, String currentVersion, Optional<Move> move, ServiceLimits limits) {
    /** Makes an immutable copy of the versions. */
    public Service {
        versions = List.copyOf(versions);
    }
}
