package org.mimosahinge.bench.move;

/** Determines how calls end at each endpoint over the course of a move; each scenario is a lambda. */
@FunctionalInterface
interface CallModel {
    /**
     * Returns the fault profile of a call.
     *
     * @param progress how far the move is
     * @param site where the call runs
     * @return the fault profile
     */
    FaultProfile profileAt(MoveProgress progress, CallSite site);

    /**
     * How far a move is.
     *
     * @param second seconds since the start of the move
     * @param secondsSinceFirstShare seconds since the first share came into force, -1 before
     * @param secondsSinceDone seconds since the move was done, -1 before
     * @param sharePermille share of the new version that is in force, in permille
     */
    record MoveProgress(int second, int secondsSinceFirstShare, int secondsSinceDone, int sharePermille) {}

    /**
     * Where a call runs.
     *
     * @param newVersion whether the endpoint runs the new version
     * @param endpoint index of the endpoint
     * @param zone index of its zone
     * @param route index of the route
     */
    record CallSite(boolean newVersion, int endpoint, int zone, int route) {}

    /** Applies a model to calls of the new version; calls of the old version have the normal profile. */
    static CallModel forNewVersion(CallModel newVersionModel) {
        return (progress, site) -> site.newVersion() ? newVersionModel.profileAt(progress, site) : FaultProfile.NORMAL;
    }
}
