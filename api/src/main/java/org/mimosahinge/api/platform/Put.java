package org.mimosahinge.api.platform;

/**
 * A write of one row.
 *
 * @param key key of the row
 * @param value value as JSON text
 */
public record Put(String key, String value) {}
