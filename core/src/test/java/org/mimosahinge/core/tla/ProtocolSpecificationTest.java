package org.mimosahinge.core.tla;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import tlc2.TLC;

/** Guards against a protocol that violates a requirement in some order of steps, and against redundant rules. */
class ProtocolSpecificationTest {
    private static final String NO_ERROR_OUTPUT = "Model checking completed. No error has been found.";
    private static final String LIVENESS_VIOLATED_OUTPUT = "Temporal properties were violated.";
    private static final Path SPECIFICATIONS = Path.of("src/test/tla");
    private static final Path WORK_DIRECTORY = Path.of("target/tla");
    /** Modules of the models that are not named like their module. */
    private static final Map<String, String> MODULES =
            Map.of("Submissions", "Accepting", "Controllers", "Accepting", "InForce", "Distributing");

    private static final ExecutorService CHECKERS = Executors.newFixedThreadPool(3);

    /** A model with some rules disabled, and the output that TLC must print for it. */
    private record Case(String name, String expectedOutput, Future<String> output) {
        @Override
        public String toString() {
            return name;
        }
    }

    // All cases are submitted here, so that three run concurrently while the tests report them in order.
    private static final List<Case> CASES = List.of(
            satisfied("Submissions"),
            satisfied("Controllers"),
            satisfied("Distributing"),
            satisfied("InForce"),
            satisfied("Withdrawing"),
            violated(
                    "two operators race: a write is conditional on the revisions read",
                    "Submissions",
                    "NoLostUpdate",
                    "HeadCondition",
                    "SectionCondition"),
            violated(
                    "two operators race: the candidate is checked against the head that it replaces",
                    "Submissions",
                    "Closed",
                    "HeadCondition"),
            violated("lost response: section row and head are read consistently", "Submissions", "Truthful", "OneView"),
            violated("lost response: the write may have happened", "Submissions", "Truthful", "LostIsUnknown"),
            violated("lost response: no blind retry", "Submissions", "OnceEach", "ReadBackBeforeRetry"),
            violated("paused holder: writes are fenced by the lease row", "Controllers", "Fenced", "Fence"),
            violated(
                    "controller handover: the successor continues from the durable state",
                    "Controllers",
                    "ShareSteps",
                    "ResumeFromDurable"),
            violated(
                    "controller handover: late records are conditional on the head",
                    "Controllers",
                    "ShareSteps",
                    "HeadCondition"),
            violatedInDistributing(
                    "lease: no takeover before the holder considers it lost", "NeverBack", "TakeoverAfterExpiry"),
            violatedInDistributing("relay: a head read under another epoch is discarded", "NeverBack", "EpochOnRead"),
            violatedInDistributing(
                    "relay: an update received after the lease is discarded", "NeverBack", "LeaseOnReceipt"),
            violatedInDistributing("apply: an older or equal version is ignored", "NeverBack", "NewerOnly"),
            violatedInDistributing("apply: a delta needs its base version", "Whole", "SameBase"),
            violatedInDistributing("restart: no calls without proof", "NeverBack", "ProofBeforeCalls"),
            violatedInDistributing(
                    "restart: a relay without a valid lease requires no version", "NeverBack", "LeaseAtFirstContact"),
            violatedInDistributing(
                    "restart: a relay behind the head of its term requires no version", "NeverBack", "HeadAtTermStart"),
            violatedInWithdrawing(
                    "late message: the proof is dated by the platform's clock", "EndsInTime", "DatedByPlatformClock"),
            violatedInWithdrawing(
                    "late response: the clocks are compared at the sending of the request",
                    "EndsInTime",
                    "LeadFromSending"),
            violatedInWithdrawing(
                    "clocks differ: no reading is dated before the clocks are compared", "EndsInTime", "KnownLead"),
            violatedInWithdrawing(
                    "paused process: the age of the proof is computed at each call", "EndsInTime", "AgeAtEachCall"),
            violatedInWithdrawing(
                    "paused process: a proof covers no earlier version", "EndsInTime", "ProofNamesVersion"),
            violatedInWithdrawing(
                    "lost row: a neighbour's statement needs the rows that it is about",
                    "RowsArrived",
                    "RowsBeforeStatement"),
            violatedInWithdrawing("restart: no keys without proof", "EndsInTime", "ProofBeforeKeys"),
            submit(
                    "apply: a gap is closed by full state",
                    "InForce",
                    LIVENESS_VIOLATED_OUTPUT,
                    List.of("FullAfterGap")));

    static Stream<Case> cases() {
        return CASES.stream();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void modelCheckerReportsTheExpectedResult(Case modelCase) throws Exception {
        String output = modelCase.output().get();
        assertTrue(output.contains(modelCase.expectedOutput()), output);
    }

    @AfterAll
    static void stopCheckers() {
        CHECKERS.shutdownNow();
    }

    private static Case satisfied(String model) {
        return submit("the protocol meets its requirements in model " + model, model, NO_ERROR_OUTPUT, List.of());
    }

    private static Case violatedInDistributing(String rule, String invariant, String disabledRule) {
        return violated(rule, "Distributing", invariant, disabledRule);
    }

    private static Case violatedInWithdrawing(String rule, String invariant, String disabledRule) {
        return violated(rule, "Withdrawing", invariant, disabledRule);
    }

    private static Case violated(String rule, String model, String invariant, String... disabledRules) {
        return submit(rule, model, "Invariant " + invariant + " is violated.", List.of(disabledRules));
    }

    private static Case submit(String name, String model, String expectedOutput, List<String> disabledRules) {
        Callable<String> modelRun = () -> runTlc(model, disabledRules);
        return new Case(name, expectedOutput, CHECKERS.submit(modelRun));
    }

    /** Runs TLC in its own JVM, because it keeps its state in static fields, and returns its output. */
    private static String runTlc(String model, List<String> disabledRules) throws Exception {
        String module = MODULES.getOrDefault(model, model);
        Path workDirectory = Files.createDirectories(WORK_DIRECTORY.resolve(model + String.join("", disabledRules)));
        String rules = disabledRules.stream().map(rule -> '"' + rule + '"').collect(Collectors.joining(", "));
        copy(module + ".tla", workDirectory.resolve(module + ".tla"), "");
        copy(model + ".cfg", workDirectory.resolve(module + ".cfg"), rules);
        File output = workDirectory.resolve("tlc.log").toFile();
        String library = Path.of(TLC.class
                        .getProtectionDomain()
                        .getCodeSource()
                        .getLocation()
                        .toURI())
                .toString();
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        // The runs are too short for the C2 compiler to pay off. With one worker and liveness checked last, the first
        // violation found is always the same.
        List<String> options = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx512m");
        List<String> arguments =
                List.of("-workers", "1", "-fp", "0", "-lncheck", "final", "-metadir", "states", module);
        List<String> command = Stream.of(
                        List.of(java, "-Djava.io.tmpdir=" + workDirectory.toAbsolutePath()),
                        options,
                        List.of("-cp", library, TLC.class.getName()),
                        arguments)
                .flatMap(List::stream)
                .toList();
        Process process = new ProcessBuilder(command)
                .directory(workDirectory.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output)
                .start();
        try {
            process.waitFor();
        } finally {
            process.destroyForcibly();
        }
        return Files.readString(output.toPath());
    }

    private static void copy(String name, Path target, String disabledRules) throws IOException {
        String text = Files.readString(SPECIFICATIONS.resolve(name));
        Files.writeString(target, text.replace("Broken = {}", "Broken = {" + disabledRules + "}"));
    }
}
