package org.mimosahinge.api.operator;

/**
 * Response to an accepted {@code PUT /v1/sections/<team>}.
 *
 * @param version configuration version that contains the change
 * @param revision new revision of the section
 * @param team the owning team
 */
public record Submission(long version, long revision, String team) {}
