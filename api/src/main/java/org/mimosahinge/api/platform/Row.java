package org.mimosahinge.api.platform;

/**
 * A row of the table service.
 *
 * @param key the key
 * @param revision revision of the transaction that wrote the row
 * @param value the value as JSON text
 */
public record Row(String key, long revision, String value) {}
