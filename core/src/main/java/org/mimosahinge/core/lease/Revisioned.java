package org.mimosahinge.core.lease;

/**
 * A value with the table revision of its row, for conditional writes.
 *
 * @param rowRevision the row's revision in the table service; 0 if the row is absent
 * @param value the decoded value; the initial value if the row is absent
 * @param <T> type of the value
 */
public record Revisioned<T>(long rowRevision, T value) {}
