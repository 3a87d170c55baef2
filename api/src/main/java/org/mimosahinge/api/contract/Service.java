package org.mimosahinge.api.contract;

import java.util.List;
import java.util.Optional;

/**
 * A service with its backend server versions.
 *
 * @param name unique in the document
 * @param versions all versions that may receive traffic
 * @param currentVersion the version in use before and without a move
 * @param move the requested move
 * @param limits load limits
 */
public record Service(
        String name, List<String> versions, String currentVersion, Optional<Move> move, ServiceLimits limits) {
    /** Copies the versions. */
    public Service {
        versions = List.copyOf(versions);
    }
}
