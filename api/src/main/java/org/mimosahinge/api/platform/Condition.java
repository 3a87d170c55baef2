package org.mimosahinge.api.platform;

/**
 * A precondition of a transaction.
 *
 * @param key the row
 * @param revision revision that the row must have; 0 means absent
 */
public record Condition(String key, long revision) {}
