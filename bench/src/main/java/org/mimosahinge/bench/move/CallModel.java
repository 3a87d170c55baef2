package org.mimosahinge.bench.move;

/** How calls end at each endpoint over time; faults and good conditions are lambdas. */
@FunctionalInterface
interface CallModel {
    /**
     * Tells how calls end now.
     *
     * @param now the point in the move
     * @param site where the call runs
     * @return the behaviour
     */
    Behaviour at(Situation now, CallSite site);

    /**
     * The point in a move.
     *
     * @param second seconds since the start of the move
     * @param sinceFirstShare seconds since the first share was in force, -1 before
     * @param sinceDone seconds since the move was done, -1 before
     * @param sharePermille share in force
     */
    record Situation(int second, int sinceFirstShare, int sinceDone, int sharePermille) {}

    /**
     * Where a call runs.
     *
     * @param fresh whether the endpoint runs the new version
     * @param endpoint the endpoint
     * @param zone its zone
     * @param route the route
     */
    record CallSite(boolean fresh, int endpoint, int zone, int route) {}

    /** Gives the new version another behaviour. */
    static CallModel ofNew(CallModel fault) {
        return (now, site) -> site.fresh() ? fault.at(now, site) : Behaviour.USUAL;
    }
}
