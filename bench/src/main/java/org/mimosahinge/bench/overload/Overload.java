package org.mimosahinge.bench.overload;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoublePredicate;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.bench.MeasurementPrinter;

/** Measures the fraction of callers served in time under overload, compared with baselines at the same load. */
public final class Overload {

    /** Excludes callers of the first two seconds, in which latencies and loads of endpoints are still being learned. */
    static final DoublePredicate AFTER_WARM_UP = ms -> ms >= 2_000;

    /** Selects callers from two seconds after the end of a burst, who should be served as well as before it. */
    static final DoublePredicate AFTER_BURST = ms -> ms >= Load.BURST_END_MS + 2_000;

    private static final long FIRST_SEED = 17;
    private static final List<CallClass> CLASSES = List.of(CallClass.CONFIRMATION, CallClass.INTERACTIVE);

    private Overload() {}

    /**
     * Runs all loads.
     *
     * @param full whether to simulate more seeds
     * @param printer prints the results
     */
    public static void run(boolean full, MeasurementPrinter printer) {
        Map<String, Load> loads = new TreeMap<>(Map.of(
                "x07", Load.constant(0.7),
                "x10", Load.constant(1),
                "x13", Load.constant(1.3),
                "x20", Load.constant(2),
                "x10_one_slow", Load.withSlowEndpoint(1)));
        int seeds = full ? 20 : 3;
        for (AdmissionVariant baseline : List.of(AdmissionVariant.withoutHistory(), AdmissionVariant.roundRobin())) {
            loads.forEach((name, load) -> print(printer, name, load, baseline, seeds, AFTER_WARM_UP));
            print(printer, "after_burst", Load.burst(0.7, 2), baseline, seeds, AFTER_BURST);
        }
    }

    private static void print(
            MeasurementPrinter printer,
            String name,
            Load load,
            AdmissionVariant baseline,
            int seeds,
            DoublePredicate firstCallTimes) {
        for (CallClass callClass : CLASSES) {
            String valueName = "overload." + name + '.' + callClass.name().toLowerCase(Locale.ROOT) + ".in_time";
            printer.print(
                    new MeasurementPrinter.MeasuredValue(
                            valueName,
                            inTimeFraction(AdmissionVariant.product(), load, callClass, seeds, firstCallTimes),
                            "share"),
                    baseline.name(),
                    inTimeFraction(baseline, load, callClass, seeds, firstCallTimes));
        }
    }

    static double inTimeFraction(
            AdmissionVariant variant, Load load, CallClass callClass, int seeds, DoublePredicate firstCallTimes) {
        double sum = 0;
        for (int i = 0; i < seeds; i++) {
            sum += new ServiceModel(variant, load, FIRST_SEED + i)
                    .simulate()
                    .servedCounts(callClass, firstCallTimes)
                    .inTimeFraction();
        }
        return sum / seeds;
    }
}
