package org.mimosahinge.api.config;

/**
 * Stops all new calls to a backend server version until the section has a newer revision.
 *
 * @param service the service
 * @param version the halted backend server version
 * @param sectionRevision section revision for which the failure was detected
 */
public record HaltMark(String service, String version, long sectionRevision) {}
