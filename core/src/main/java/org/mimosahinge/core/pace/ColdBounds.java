package org.mimosahinge.core.pace;

/**
 * Tolerance on the calls that a cold backend server gets in one second, from the operators' agreement.
 *
 * @param overage factor on the calls per second that a cold backend server bears, 0 without a bound
 * @param slack calls beyond that in one second
 */
public record ColdBounds(double overage, double slack) {

    /** Bounds of an agreement that names none. */
    public static final ColdBounds NONE = new ColdBounds(0, 0);
}
