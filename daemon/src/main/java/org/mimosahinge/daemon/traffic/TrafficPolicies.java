package org.mimosahinge.daemon.traffic;

import java.util.concurrent.ThreadLocalRandom;
import org.mimosahinge.core.retry.RetryPolicy;
import org.mimosahinge.core.routing.EndpointChooser;
import org.mimosahinge.core.routing.EndpointChoosers;
import org.mimosahinge.core.routing.RandomSource;

/**
 * Decisions of the traffic plane that vary; measurements put baselines here.
 *
 * @param chooser choice of endpoints
 * @param retry whether failed attempts are tried again
 * @param random source of random choices
 */
public record TrafficPolicies(EndpointChooser chooser, RetryPolicy retry, RandomSource random) {

    /**
     * The policies of a daemon.
     *
     * @return the policies
     */
    public static TrafficPolicies standard() {
        return new TrafficPolicies(
                EndpointChoosers.standard(), RetryPolicy.standard(), bound -> ThreadLocalRandom.current()
                        .nextInt(bound));
    }
}
