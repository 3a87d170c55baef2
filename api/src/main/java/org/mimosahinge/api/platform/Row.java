package org.mimosahinge.api.platform;

/**
 * A row of the table service.
 *
 * @param key key of the row
 * @param revision revision of the transaction that wrote the row
 * @param value value as JSON text
 */
public record Row(String key, long revision, String value) {}
