package org.mimosahinge.daemon.fleet;

/**
 * What the control state of a node needs of the platform that it runs on.
 *
 * @param store writes to the platform
 * @param decoder decodes rows
 * @param healthCheck asks the local backend server whether it accepts calls
 */
public record FleetPlatform(FleetStore store, RowDecoder decoder, ServerHealthCheck healthCheck) {}
