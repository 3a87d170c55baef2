package org.mimosahinge.bench.move;

/** How calls end at each endpoint over time; faults and good conditions are lambdas. */
@FunctionalInterface
interface CallModel {
    /**
     * Tells how calls end now.
     *
     * @param progress the point in the move
     * @param site where the call runs
     * @return the behaviour
     */
    FaultProfile profileAt(MoveProgress progress, CallSite site);

    /**
     * The point in a move.
     *
     * @param second seconds since the start of the move
     * @param secondsSinceFirstShare seconds since the first share was in force, -1 before
     * @param secondsSinceDone seconds since the move was done, -1 before
     * @param sharePermille share in force
     */
    record MoveProgress(int second, int secondsSinceFirstShare, int secondsSinceDone, int sharePermille) {}

    /**
     * Where a call runs.
     *
     * @param newVersion whether the endpoint runs the new version
     * @param endpoint the endpoint
     * @param zone its zone
     * @param route the route
     */
    record CallSite(boolean newVersion, int endpoint, int zone, int route) {}

    /** Gives the new version another behaviour. */
    static CallModel forNewVersion(CallModel newVersionModel) {
        return (progress, site) -> site.newVersion() ? newVersionModel.profileAt(progress, site) : FaultProfile.NORMAL;
    }
}
