package org.mimosahinge.core.poison;

/**
 * One start of a backend server, from its birth to its crash.
 *
 * @param endpointId its endpoint
 * @param birth incarnation under which the backend server or its node was announced
 * @param ordinal number of crashes under that incarnation before this one
 */
public record BackendStart(String endpointId, long birth, int ordinal) {}
