package org.mimosahinge.daemon.fleet;

import org.mimosahinge.api.platform.StorePosition;

/**
 * A row as the platform stores it.
 *
 * @param key table and key
 * @param revision revision of the row; later writes to any row have later ones
 * @param content the value, empty for a removed row
 * @param removed whether the row was removed
 */
public record StoredRow(String key, StorePosition revision, byte[] content, boolean removed) {}
