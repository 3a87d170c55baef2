package org.mimosahinge.api.platform;

/**
 * A write of one row.
 *
 * @param key the row
 * @param value the value as JSON text
 */
public record Put(String key, String value) {}
