package org.mimosahinge.api.contract;

/**
 * A target service of a route with its weight.
 *
 * <p>{@code equals} and {@code hashCode} are written out: the generated ones link method handles at their first use,
 * which delays the start of a node, and stay slow where only the first compiler tier is used.
 *
 * @param service service name
 * @param weight weight relative to the sum of all weights of the route
 */
public record ServiceShare(String service, int weight) {
    @Override
    public boolean equals(Object other) {
        return this == other
                || other instanceof ServiceShare share && weight == share.weight && service.equals(share.service);
    }

    @Override
    public int hashCode() {
        return 31 * service.hashCode() + weight;
    }
}
