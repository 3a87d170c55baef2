package org.mimosahinge.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.config.SectionRef;
import org.mimosahinge.api.platform.ObjectHash;

/**
 * The table row {@code section/<team>}.
 *
 * @param team the owning team
 * @param revision incremented by each accepted change; 0 before the first
 * @param hash hash of the section's object, empty before the first change
 * @param operationIds identifiers of the last accepted operations, the latest at the end
 */
public record SectionRow(String team, long revision, Optional<ObjectHash> hash, List<String> operationIds) {
    // A submitter times out long before eight more changes of one section are accepted. If its identifier has been
    // dropped, it gets a conflict.
    private static final int MAX_OPERATION_IDS = 8;

    /** Copies the identifiers. */
    public SectionRow {
        operationIds = List.copyOf(operationIds);
    }

    /**
     * Returns the row of a section that does not exist yet.
     *
     * @param team the owning team
     * @return the initial row
     */
    public static SectionRow initial(String team) {
        return new SectionRow(team, 0, Optional.empty(), List.of());
    }

    SectionRow withChange(ObjectHash newHash, String operationId) {
        List<String> ids = new ArrayList<>(operationIds);
        ids.add(operationId);
        int from = Math.max(0, ids.size() - MAX_OPERATION_IDS);
        return new SectionRow(team, revision + 1, Optional.of(newHash), ids.subList(from, ids.size()));
    }

    SectionRef reference() {
        return new SectionRef(team, revision, hash.orElseThrow());
    }
}
