package org.mimosahinge.api.config;

/**
 * Stops all new calls to a backend server version; only a newer section revision lifts it.
 *
 * @param service the service
 * @param version the halted backend server version
 * @param sectionRevision section revision under which the fault was seen
 */
public record HaltMark(String service, String version, long sectionRevision) {}
