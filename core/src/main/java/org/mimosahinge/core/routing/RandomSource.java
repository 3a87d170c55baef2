package org.mimosahinge.core.routing;

/** Source of random numbers; tests use a seeded one. */
@FunctionalInterface
public interface RandomSource {

    /**
     * Returns a random number.
     *
     * @param bound upper bound, exclusive and positive
     * @return a number from 0 to below the bound
     */
    int nextInt(int bound);
}
