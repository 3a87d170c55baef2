package org.mimosahinge.core.tla;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import tlc2.TLC;

/** Guards against a protocol that breaks a requirement in some order of steps, and against rules that have no effect. */
@Execution(ExecutionMode.CONCURRENT)
class ProtocolSpecificationTest {
    private static final Path SPECIFICATIONS = Path.of("src/test/tla");
    private static final Path WORK = Path.of("target/tla");

    @ParameterizedTest(name = "{1} of {0} holds")
    @MethodSource
    void theProtocolKeepsItsRequirements(String module, String model) throws Exception {
        String output = check(module, model, List.of());
        assertTrue(output.contains("Model checking completed. No error has been found."), output);
    }

    static Stream<Arguments> theProtocolKeepsItsRequirements() {
        return Stream.of(
                Arguments.of("Accepting", "Submissions"),
                Arguments.of("Accepting", "Controllers"),
                Arguments.of("Distributing", "Distributing"),
                Arguments.of("Distributing", "InForce"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    void aProtocolWithoutTheRuleIsRejected(
            String rule, String module, String model, String requirement, List<String> broken) throws Exception {
        String output = check(module, model, broken);
        assertTrue(output.contains(requirement), rule + "\n" + output);
    }

    static Stream<Arguments> aProtocolWithoutTheRuleIsRejected() {
        return Stream.of(
                submission(
                        "two operators race: a write is conditional on the revisions read",
                        "NoLostUpdate",
                        "HeadCondition",
                        "SectionCondition"),
                submission(
                        "two operators race: the whole candidate is checked against the head that is replaced",
                        "Closed",
                        "HeadCondition"),
                submission(
                        "lost response: section row and head are read back in one consistent view",
                        "Truthful",
                        "OneView"),
                submission("lost response: it does not mean that nothing was written", "Truthful", "LostIsUnknown"),
                submission("lost response: no blind retry", "OnceEach", "ReadBackBeforeRetry"),
                controller("paused holder: writes are fenced by the lease row", "Fenced", "Fence"),
                controller(
                        "controller handover: the successor continues from the durable state",
                        "ShareSteps",
                        "ResumeFromDurable"),
                controller(
                        "controller handover: late records are conditional on the head", "ShareSteps", "HeadCondition"),
                zone("lease: no takeover before the holder considers it lost", "NeverBack", "TakeoverAfterExpiry"),
                zone("relay: a head read under another epoch is discarded", "NeverBack", "EpochOnRead"),
                zone("relay: an update received after the lease is discarded", "NeverBack", "LeaseOnReceipt"),
                zone("apply: an older or equal version is ignored", "NeverBack", "NewerOnly"),
                zone("apply: a delta needs its base version", "Whole", "SameBase"),
                zone("restart: no calls without proof", "NeverBack", "ProofBeforeCalls"),
                zone("restart: a relay without a valid lease does not vouch", "NeverBack", "LeaseAtFirstContact"),
                zone("restart: a relay behind the head of its term does not vouch", "NeverBack", "HeadAtTermStart"),
                Arguments.of(
                        "apply: a gap is closed by full state",
                        "Distributing",
                        "InForce",
                        "Temporal properties were violated.",
                        List.of("FullAfterGap")));
    }

    private static Arguments submission(String rule, String invariant, String... broken) {
        return Arguments.of(rule, "Accepting", "Submissions", violated(invariant), Arrays.asList(broken));
    }

    private static Arguments controller(String rule, String invariant, String... broken) {
        return Arguments.of(rule, "Accepting", "Controllers", violated(invariant), Arrays.asList(broken));
    }

    private static Arguments zone(String rule, String invariant, String... broken) {
        return Arguments.of(rule, "Distributing", "Distributing", violated(invariant), Arrays.asList(broken));
    }

    private static String violated(String invariant) {
        return "Invariant " + invariant + " is violated.";
    }

    /** Runs TLC in its own JVM, because it keeps its state in static fields, and returns its output. */
    private static String check(String module, String model, List<String> broken) throws Exception {
        Path work = emptied(WORK.resolve(model + String.join("", broken)));
        Files.copy(SPECIFICATIONS.resolve(module + ".tla"), work.resolve(module + ".tla"));
        String rules = broken.stream().map(rule -> '"' + rule + '"').collect(Collectors.joining(", "));
        String settings = Files.readString(SPECIFICATIONS.resolve(model + ".cfg"));
        Files.writeString(work.resolve(module + ".cfg"), settings.replace("Broken = {}", "Broken = {" + rules + "}"));
        Path library = Path.of(
                TLC.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        Path output = work.resolve("tlc.log");
        // One worker and a fixed fingerprint make runs repeatable. The runs are too short for the second compiler.
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx512m",
                        "-Djava.io.tmpdir=" + work.toAbsolutePath(),
                        "-cp",
                        library.toString(),
                        TLC.class.getName(),
                        "-workers",
                        "1",
                        "-fp",
                        "0",
                        module)
                .directory(work.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        try {
            process.waitFor();
        } finally {
            process.destroyForcibly();
        }
        return Files.readString(output);
    }

    private static Path emptied(Path directory) throws IOException {
        if (Files.exists(directory)) {
            try (Stream<Path> old = Files.walk(directory)) {
                for (Path path : old.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
        return Files.createDirectories(directory);
    }
}
