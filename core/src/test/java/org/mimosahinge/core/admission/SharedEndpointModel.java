package org.mimosahinge.core.admission;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.mimosahinge.api.contract.CallClass;

/** One endpoint, its queue and callers of several organisations that return up to twice, in virtual time. */
final class SharedEndpointModel {

    static final int SLOTS = 12;
    static final double WORK_MS = 210;
    private static final AdmissionLimits LIMITS = new AdmissionLimits(SLOTS, 0, 64);
    private static final long DEADLINE_MS = 4_000;
    private static final int MAX_RETURNS = 2;
    private static final long WARM_UP_MS = 10_000;
    private static final long END_MS = 130_000;

    /**
     * An organisation.
     *
     * @param callsPerS its calls per second
     * @param oneAtATime whether each call begins only after the end of the one before
     */
    record Load(String name, double callsPerS, CallClass callClass, boolean oneAtATime) {}

    /** Decides who gets a slot. */
    interface Scheduler {
        AdmissionDecision decide(AdmissionView view, SlotRequest call);

        Optional<SlotRequest> next(AdmissionView view);

        default void arrived(SlotRequest call, double timelySlotMs, long nowMs) {}

        default void started(SlotRequest call, long nowMs) {}

        default void refused(SlotRequest call, long nowMs) {}

        default void ended(SlotRequest call, long nowMs) {}
    }

    private record Call(int load, double firstMs, int returns) {}

    private record Event(double atMs, long number, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::number));
    private final Random random;
    private final List<Load> loads;
    private final Scheduler scheduler;
    private final long targetMs;
    private final TreeMap<SlotRequest, Call> waiting = new TreeMap<>();
    private final TimelyDemand timelyDemand = new TimelyDemand();
    private final int[] asked;
    private final int[] inTime;
    private double now;
    private long sequence;
    private int running;
    private int lateRunning;
    private double busyMs;

    SharedEndpointModel(List<Load> loads, Scheduler scheduler, long targetMs, long seed) {
        this.loads = loads;
        this.scheduler = scheduler;
        this.targetMs = targetMs;
        random = new Random(seed);
        asked = new int[loads.size()];
        inTime = new int[loads.size()];
    }

    SharedEndpointModel play() {
        for (int i = 0; i < loads.size(); i++) {
            scheduleFirst(i);
        }
        while (!events.isEmpty() && events.peek().atMs() < END_MS) {
            Event event = events.poll();
            now = event.atMs();
            event.action().run();
        }
        return this;
    }

    /** Returns the fraction of the calls of some organisations that ended in time. */
    double served(int from, int to) {
        return Arrays.stream(inTime, from, to).sum()
                / (double) Math.max(1, Arrays.stream(asked, from, to).sum());
    }

    double served() {
        return served(0, asked.length);
    }

    /** Returns the fraction of the calls of all organisations but one that ended in time. */
    double othersServed(int except) {
        int askedByOthers = Arrays.stream(asked).sum() - asked[except];
        return (Arrays.stream(inTime).sum() - inTime[except]) / (double) askedByOthers;
    }

    /** Returns the smallest fraction among organisations with calls enough to tell. */
    double leastServed() {
        double least = 1;
        for (int i = 0; i < asked.length; i++) {
            least = asked[i] < 20 ? least : Math.min(least, served(i, i + 1));
        }
        return least;
    }

    double utilisation() {
        return busyMs / SLOTS / (END_MS - WARM_UP_MS);
    }

    private void at(double atMs, Runnable action) {
        events.add(new Event(atMs, ++sequence, action));
    }

    private void scheduleFirst(int load) {
        double gapMs =
                -Math.log(1 - random.nextDouble()) * 1_000 / loads.get(load).callsPerS();
        at(now + gapMs, () -> {
            asked[load] += now >= WARM_UP_MS ? 1 : 0;
            if (!loads.get(load).oneAtATime()) {
                scheduleFirst(load);
            }
            arrive(new Call(load, now, 0));
        });
    }

    private void arrive(Call call) {
        Load load = loads.get(call.load());
        long nowMs = (long) now;
        long elapsedMs = (long) (now - call.firstMs());
        long finishMs = nowMs
                + LatencyBudget.target().remainingMs(load.callClass(), targetMs - elapsedMs, DEADLINE_MS - elapsedMs);
        SlotRequest request = new SlotRequest(load.callClass(), finishMs, ++sequence, load.name());
        boolean late = AdmissionPolicy.isLate(request, nowMs, WORK_MS);
        if (!late) {
            timelyDemand.arrived(WORK_MS, nowMs);
        }
        scheduler.arrived(request, late ? 0 : WORK_MS, nowMs);
        AdmissionDecision decision = scheduler.decide(view(), request);
        if (decision instanceof AdmissionDecision.Run) {
            run(request, call);
        } else if (decision instanceof AdmissionDecision.Wait wait) {
            wait.evicted().ifPresent(evicted -> refuse(evicted, waiting.remove(evicted)));
            waiting.put(request, call);
            at(Math.max(now, AdmissionPolicy.latestStartMs(request, WORK_MS)), () -> {
                if (waiting.remove(request) != null) {
                    refuse(request, call);
                }
            });
        } else {
            refuse(request, call);
        }
    }

    private AdmissionView view() {
        return new AdmissionView(
                LIMITS,
                running,
                waiting.navigableKeySet(),
                WORK_MS,
                (long) now,
                WORK_MS,
                0,
                lateRunning,
                timelyDemand.slots((long) now));
    }

    private void refuse(SlotRequest request, Call call) {
        scheduler.refused(request, (long) now);
        if (call.returns() == MAX_RETURNS) {
            end(call);
        } else {
            at(
                    now + 100 + random.nextInt(200),
                    () -> arrive(new Call(call.load(), call.firstMs(), call.returns() + 1)));
        }
    }

    private void end(Call call) {
        if (loads.get(call.load()).oneAtATime()) {
            scheduleFirst(call.load());
        }
    }

    private void runWaiting() {
        for (var next = scheduler.next(view()); next.isPresent(); next = scheduler.next(view())) {
            run(next.get(), waiting.remove(next.get()));
        }
    }

    private void run(SlotRequest request, Call call) {
        running++;
        boolean late = AdmissionPolicy.isLate(request, (long) call.firstMs(), WORK_MS);
        lateRunning += late ? 1 : 0;
        scheduler.started(request, (long) now);
        double workMs = WORK_MS * Math.exp(0.5 * random.nextGaussian() - 0.125);
        at(now + workMs, () -> {
            running--;
            lateRunning -= late ? 1 : 0;
            busyMs += now >= WARM_UP_MS ? workMs : 0;
            inTime[call.load()] += call.firstMs() >= WARM_UP_MS && now - call.firstMs() <= targetMs ? 1 : 0;
            scheduler.ended(request, (long) now);
            end(call);
            runWaiting();
        });
    }

    /** Serves calls by class and deadline, whatever their organisation. */
    static Scheduler byClass() {
        return new Scheduler() {
            @Override
            public AdmissionDecision decide(AdmissionView view, SlotRequest call) {
                return AdmissionPolicy.decide(view, call);
            }

            @Override
            public Optional<SlotRequest> next(AdmissionView view) {
                return AdmissionPolicy.nextToRun(view);
            }
        };
    }

    /** Serves calls in order of arrival. */
    static Scheduler firstComeFirstServed() {
        return new Scheduler() {
            @Override
            public AdmissionDecision decide(AdmissionView view, SlotRequest call) {
                if (view.running() < SLOTS && view.waiting().isEmpty()) {
                    return new AdmissionDecision.Run();
                }
                return view.waiting().size() < LIMITS.queueCapacity()
                        ? new AdmissionDecision.Wait(Optional.empty())
                        : new AdmissionDecision.Refuse("Queue is full", 0);
            }

            @Override
            public Optional<SlotRequest> next(AdmissionView view) {
                return view.waiting().stream()
                        .filter(call -> view.running() < SLOTS)
                        .min(Comparator.comparingLong(SlotRequest::arrivalNumber));
            }
        };
    }

    /** Serves organisations by their shares. */
    static Scheduler fair(Map<String, Double> weights) {
        OrganisationShares shares = new OrganisationShares();
        return new Scheduler() {
            @Override
            public AdmissionDecision decide(AdmissionView view, SlotRequest call) {
                return FairAdmission.decide(view, shares, call);
            }

            @Override
            public Optional<SlotRequest> next(AdmissionView view) {
                return FairAdmission.nextToRun(view, shares);
            }

            @Override
            public void arrived(SlotRequest call, double timelySlotMs, long nowMs) {
                shares.arrived(
                        call.organisation(), weights.getOrDefault(call.organisation(), 1.0), timelySlotMs, nowMs);
            }

            @Override
            public void started(SlotRequest call, long nowMs) {
                shares.started(call.organisation(), nowMs);
            }

            @Override
            public void refused(SlotRequest call, long nowMs) {
                shares.refused(call.organisation(), nowMs);
            }

            @Override
            public void ended(SlotRequest call, long nowMs) {
                shares.ended(call.organisation(), nowMs);
            }
        };
    }
}
