package org.mimosahinge.core.tla;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
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

/** Guards against a protocol that breaks a requirement in some order of steps, and against rules without effect. */
class ProtocolSpecificationTest {
    private static final String HOLDS = "Model checking completed. No error has been found.";
    private static final String NEVER_IN_FORCE = "Temporal properties were violated.";
    private static final Path SPECIFICATIONS = Path.of("src/test/tla");
    private static final Path WORK = Path.of("target/tla");
    private static final ExecutorService CHECKERS = Executors.newFixedThreadPool(3);

    /** A model with some rules switched off, and what TLC must say about it. */
    private record Case(String name, String expected, Future<String> output) {
        @Override
        public String toString() {
            return name;
        }
    }

    // All cases start here, so that three of them run side by side while the tests report in order.
    private static final List<Case> CASES = List.of(
            holds("Submissions"),
            holds("Controllers"),
            holds("Distributing"),
            holds("InForce"),
            without(
                    "two operators race: a write is conditional on the revisions read",
                    "Submissions",
                    "NoLostUpdate",
                    "HeadCondition",
                    "SectionCondition"),
            without(
                    "two operators race: the candidate is checked against the head that it replaces",
                    "Submissions",
                    "Closed",
                    "HeadCondition"),
            without("lost response: section row and head are read in one view", "Submissions", "Truthful", "OneView"),
            without("lost response: the write may have happened", "Submissions", "Truthful", "LostIsUnknown"),
            without("lost response: no blind retry", "Submissions", "OnceEach", "ReadBackBeforeRetry"),
            without("paused holder: writes are fenced by the lease row", "Controllers", "Fenced", "Fence"),
            without(
                    "controller handover: the successor continues from the durable state",
                    "Controllers",
                    "ShareSteps",
                    "ResumeFromDurable"),
            without(
                    "controller handover: late records are conditional on the head",
                    "Controllers",
                    "ShareSteps",
                    "HeadCondition"),
            zone("lease: no takeover before the holder considers it lost", "NeverBack", "TakeoverAfterExpiry"),
            zone("relay: a head read under another epoch is discarded", "NeverBack", "EpochOnRead"),
            zone("relay: an update received after the lease is discarded", "NeverBack", "LeaseOnReceipt"),
            zone("apply: an older or equal version is ignored", "NeverBack", "NewerOnly"),
            zone("apply: a delta needs its base version", "Whole", "SameBase"),
            zone("restart: no calls without proof", "NeverBack", "ProofBeforeCalls"),
            zone("restart: a relay without a valid lease does not vouch", "NeverBack", "LeaseAtFirstContact"),
            zone("restart: a relay behind the head of its term does not vouch", "NeverBack", "HeadAtTermStart"),
            start("apply: a gap is closed by full state", "InForce", NEVER_IN_FORCE, List.of("FullAfterGap")));

    static Stream<Case> cases() {
        return CASES.stream();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void theModelCheckerAgrees(Case check) throws Exception {
        String output = check.output().get();
        assertTrue(output.contains(check.expected()), output);
    }

    @AfterAll
    static void stopCheckers() {
        CHECKERS.shutdownNow();
    }

    private static Case holds(String model) {
        return start("the protocol keeps its requirements in model " + model, model, HOLDS, List.of());
    }

    private static Case zone(String rule, String requirement, String broken) {
        return without(rule, "Distributing", requirement, broken);
    }

    private static Case without(String rule, String model, String requirement, String... broken) {
        return start(rule, model, "Invariant " + requirement + " is violated.", List.of(broken));
    }

    private static Case start(String name, String model, String expected, List<String> broken) {
        Callable<String> check = () -> check(model, broken);
        return new Case(name, expected, CHECKERS.submit(check));
    }

    /** Runs TLC in its own JVM, because it keeps its state in static fields, and returns its output. */
    private static String check(String model, List<String> broken) throws Exception {
        String module = List.of("Submissions", "Controllers").contains(model) ? "Accepting" : "Distributing";
        Path work = Files.createDirectories(WORK.resolve(model + String.join("", broken)));
        String rules = broken.stream().map(rule -> '"' + rule + '"').collect(Collectors.joining(", "));
        copy(module + ".tla", work.resolve(module + ".tla"), "");
        copy(model + ".cfg", work.resolve(module + ".cfg"), rules);
        File output = work.resolve("tlc.log").toFile();
        String library = Path.of(TLC.class
                        .getProtectionDomain()
                        .getCodeSource()
                        .getLocation()
                        .toURI())
                .toString();
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        // The runs are too short for the second compiler. With liveness checked last and one worker the first
        // violation found is always the same.
        List<String> options = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx512m");
        List<String> arguments =
                List.of("-workers", "1", "-fp", "0", "-lncheck", "final", "-metadir", "states", module);
        List<String> command = Stream.of(
                        List.of(java, "-Djava.io.tmpdir=" + work.toAbsolutePath()),
                        options,
                        List.of("-cp", library, TLC.class.getName()),
                        arguments)
                .flatMap(List::stream)
                .toList();
        Process process = new ProcessBuilder(command)
                .directory(work.toFile())
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

    private static void copy(String name, Path target, String brokenRules) throws IOException {
        String text = Files.readString(SPECIFICATIONS.resolve(name));
        Files.writeString(target, text.replace("Broken = {}", "Broken = {" + brokenRules + "}"));
    }
}
