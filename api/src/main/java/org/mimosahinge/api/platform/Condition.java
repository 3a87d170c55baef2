package org.mimosahinge.api.platform;

/**
 * A precondition of a transaction.
 *
 * @param key key of the row
 * @param revision required revision of the row; 0 if the row must not exist
 */
public record Condition(String key, long revision) {}
