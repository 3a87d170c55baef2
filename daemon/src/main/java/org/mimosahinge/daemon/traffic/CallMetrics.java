package org.mimosahinge.daemon.traffic;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.core.routing.ChoiceReason;
import org.mimosahinge.core.routing.EndpointChoice;

/**
 * Counts calls at their entry node by class and outcome, and their latencies.
 *
 * <p>Labels are classes, codes, causes and states only, so that the number of time series is bounded.
 */
public final class CallMetrics {

    /** Upper bounds of the latency buckets in milliseconds, doubling from a local response to a long download. */
    private static final long[] BUCKETS_MS = {5, 10, 20, 40, 80, 160, 320, 640, 1_280, 2_560, 5_120};

    /** Within 250 ms a backend server's load changes little; from 2 s on, a report counts for nothing or next to it. */
    private static final long[] REPORT_AGES_MS = {250, 2_000};

    private static final int MIN_CALLER_ERROR_STATUS = 400;

    private final MetricRegistry registry;
    private final Map<CallClass, Latencies> latencies = new EnumMap<>(CallClass.class);
    private final Map<ErrorCode, Counter> refused = new EnumMap<>(ErrorCode.class);
    private final Map<ErrorCode, Counter> failed = new EnumMap<>(ErrorCode.class);
    private final Map<RejectCause, Counter> rejected = new EnumMap<>(RejectCause.class);
    private final Map<ChoiceReason, Counter> choices = new EnumMap<>(ChoiceReason.class);
    private final Counter[] reportAges = new Counter[REPORT_AGES_MS.length + 1];
    private final Counter redirectsPassedOn;
    private final Counter callerErrorsPassedOn;
    private final Counter callersDisconnected;
    private final Counter responsesTruncated;
    private final Counter attemptsFailed;
    private final Counter attemptsHedged;
    private final Counter callsReceived;
    private final Counter startedBehindOthers;
    private final Counter responsesHeld;
    private final AtomicLong longestDelayMs = new AtomicLong();
    private final AtomicLong longestTransitMs = new AtomicLong();
    private final Map<TrafficLoop, Long> notRead = new ConcurrentHashMap<>();

    /**
     * Creates the metrics.
     *
     * @param registry registers the metrics
     */
    public CallMetrics(MetricRegistry registry) {
        this.registry = registry;
        for (CallClass callClass : CallClass.values()) {
            latencies.put(callClass, new Latencies(callClass));
        }
        for (ErrorCode code : ErrorCode.values()) {
            refused.put(code, counter("mimosahinge_calls_refused_total", "code", code.code()));
            failed.put(code, counter("mimosahinge_calls_failed_total", "code", code.code()));
        }
        for (RejectCause cause : RejectCause.values()) {
            rejected.put(cause, counter("mimosahinge_requests_rejected_total", "cause", cause.label()));
        }
        for (ChoiceReason reason : ChoiceReason.values()) {
            choices.put(
                    reason,
                    counter("mimosahinge_choices_total", "reason", reason.name().toLowerCase(Locale.ROOT)));
        }
        for (int i = 0; i < reportAges.length; i++) {
            String bound = i < REPORT_AGES_MS.length ? Long.toString(REPORT_AGES_MS[i]) : "+Inf";
            reportAges[i] = counter("mimosahinge_choice_report_age_ms_bucket", "le", bound);
        }
        redirectsPassedOn = counter("mimosahinge_answers_passed_on_total", "status", "3xx");
        callerErrorsPassedOn = counter("mimosahinge_answers_passed_on_total", "status", "4xx");
        callersDisconnected = registry.counter("mimosahinge_callers_left_total");
        responsesTruncated = registry.counter("mimosahinge_responses_cut_total");
        attemptsFailed = registry.counter("mimosahinge_attempts_failed_total");
        attemptsHedged = registry.counter("mimosahinge_attempts_hedged_total");
        callsReceived = registry.counter("mimosahinge_calls_arrived_total");
        startedBehindOthers = registry.counter("mimosahinge_calls_started_behind_others_total");
        responsesHeld = registry.counter("mimosahinge_responses_held_total");
        gauge("mimosahinge_traffic_delay_ms", () -> longestDelayMs.getAndSet(0));
        gauge("mimosahinge_call_transit_ms", () -> longestTransitMs.getAndSet(0));
        gauge(
                "mimosahinge_callers_not_read",
                () -> notRead.values().stream().mapToLong(Long::longValue).sum());
    }

    private void gauge(String name, Gauge<Long> value) {
        registry.gauge(name, () -> value);
    }

    private Counter counter(String name, String label, String value) {
        return registry.counter(name + '{' + label + "=\"" + value + "\"}");
    }

    /** Latency histogram of one call class. */
    private final class Latencies {

        private final Counter[] buckets = new Counter[BUCKETS_MS.length + 1];
        private final Counter sum;

        Latencies(CallClass callClass) {
            String name = callClass.name().toLowerCase(Locale.ROOT);
            for (int i = 0; i < buckets.length; i++) {
                String bound = i < BUCKETS_MS.length ? Long.toString(BUCKETS_MS[i]) : "+Inf";
                buckets[i] =
                        registry.counter("mimosahinge_call_ms_bucket{class=\"" + name + "\",le=\"" + bound + "\"}");
            }
            sum = counter("mimosahinge_call_ms_sum", "class", name);
        }

        void observe(long ms) {
            sum.inc(ms);
            for (int i = BUCKETS_MS.length; i >= 0 && (i == BUCKETS_MS.length || ms <= BUCKETS_MS[i]); i--) {
                buckets[i].inc();
            }
        }
    }

    void answered(CallClass callClass, long ms) {
        latencies.get(callClass).observe(ms);
    }

    /** Counts the choice of an endpoint by its reason and the age of the endpoint's last report. */
    void chosen(EndpointChoice choice) {
        choices.get(choice.reason()).inc();
        if (choice.reportAgeMs() == EndpointChoice.REPORTS_UNUSED) {
            return;
        }
        for (int i = REPORT_AGES_MS.length;
                i >= 0 && (i == REPORT_AGES_MS.length || choice.reportAgeMs() <= REPORT_AGES_MS[i]);
                i--) {
            reportAges[i].inc();
        }
    }

    void refused(ErrorCode code) {
        refused.get(code).inc();
    }

    void failed(ErrorCode code) {
        failed.get(code).inc();
    }

    void rejected(RejectCause cause) {
        rejected.get(cause).inc();
    }

    /** Counts a backend server's 3xx or 4xx response that is passed on to the caller. */
    void passedOn(int status) {
        (status < MIN_CALLER_ERROR_STATUS ? redirectsPassedOn : callerErrorsPassedOn).inc();
    }

    /** Records how late a periodic task of a traffic thread ran. */
    void recordLoopDelay(long ms) {
        longestDelayMs.accumulateAndGet(ms, Math::max);
    }

    /** Counts a call from another node and records its additional transit time. */
    void callReceived(long transitMs) {
        callsReceived.inc();
        longestTransitMs.accumulateAndGet(transitMs, Math::max);
    }

    /** Counts a call that was cancelled by its sender. */
    void cancelled(String state) {
        counter("mimosahinge_calls_cancelled_total", "state", state).inc();
    }

    /** Counts a call that is started while others before it on its caller's connection are unanswered. */
    void startedBehindOthers() {
        startedBehindOthers.inc();
    }

    /** Counts a response that is held until those before it on its caller's connection are written. */
    void responseHeld() {
        responsesHeld.inc();
    }

    void callersNotRead(TrafficLoop loop, long connections) {
        notRead.put(loop, connections);
    }

    void callerDisconnected() {
        callersDisconnected.inc();
    }

    void responseTruncated() {
        responsesTruncated.inc();
    }

    void attemptFailed() {
        attemptsFailed.inc();
    }

    void attemptHedged() {
        attemptsHedged.inc();
    }
}
