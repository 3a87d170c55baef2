package org.mimosahinge.core.organisation;

/**
 * Evidence that no later configuration had been acknowledged at some time.
 *
 * @param version the configuration version
 * @param provenNanos time up to which it was the newest, on the node's steady clock
 */
public record ConfigurationProof(long version, long provenNanos) {}
