package org.mimosahinge.bench.overload;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoublePredicate;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.bench.MeasurementPrinter;

/** Measures which share of callers is answered in time under overload, against baselines under the same load. */
public final class Overload {

    /** Callers that come during the first two seconds, while endpoints are learned, are left out. */
    static final DoublePredicate SETTLED = ms -> ms >= 2_000;

    /** From two seconds after the end of a burst on, callers are to be served as before it. */
    static final DoublePredicate AFTER_BURST = ms -> ms >= Load.BURST_TO_MS + 2_000;

    private static final long SEED = 17;
    private static final List<CallClass> CLASSES = List.of(CallClass.CONFIRMATION, CallClass.INTERACTIVE);

    private Overload() {}

    /**
     * Runs all loads.
     *
     * @param full whether to play more seeds
     * @param figures receives the results
     */
    public static void run(boolean full, MeasurementPrinter figures) {
        Map<String, Load> loads = new TreeMap<>(Map.of(
                "x07", Load.lasting(0.7),
                "x10", Load.lasting(1),
                "x13", Load.lasting(1.3),
                "x20", Load.lasting(2),
                "x10_one_slow", Load.withOneSlow(1)));
        int seeds = full ? 20 : 3;
        for (Contestant baseline : List.of(Contestant.forgetful(), Contestant.roundRobin())) {
            loads.forEach((name, load) -> print(figures, name, load, baseline, seeds, SETTLED));
            print(figures, "after_burst", Load.burst(0.7, 2), baseline, seeds, AFTER_BURST);
        }
    }

    private static void print(
            MeasurementPrinter figures, String name, Load load, Contestant baseline, int seeds, DoublePredicate when) {
        for (CallClass callClass : CLASSES) {
            String figure = "overload." + name + '.' + callClass.name().toLowerCase(Locale.ROOT) + ".in_time";
            figures.print(
                    new MeasurementPrinter.MeasuredValue(
                            figure, timely(Contestant.product(), load, callClass, seeds, when), "share"),
                    baseline.name(),
                    timely(baseline, load, callClass, seeds, when));
        }
    }

    static double timely(Contestant contestant, Load load, CallClass callClass, int seeds, DoublePredicate when) {
        double sum = 0;
        for (int i = 0; i < seeds; i++) {
            sum += new ServiceModel(contestant, load, SEED + i)
                    .play()
                    .share(callClass, when)
                    .timely();
        }
        return sum / seeds;
    }
}
