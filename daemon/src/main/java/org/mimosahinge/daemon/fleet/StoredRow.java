package org.mimosahinge.daemon.fleet;

/**
 * A row as the platform stores it.
 *
 * @param key table and key
 * @param revision revision of the row; later writes to any row have higher revisions
 * @param content the value, empty for a removed row
 * @param removed whether the row was removed
 */
public record StoredRow(String key, long revision, byte[] content, boolean removed) {}
