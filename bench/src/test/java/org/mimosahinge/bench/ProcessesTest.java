package org.mimosahinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests starting, supervising and stopping processes. */
class ProcessesTest {

    @TempDir
    Path folder;

    /** Guards against processes that keep running after the run. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void closeStopsEveryProcess(boolean stoppedBefore) {
        Process process;
        try (Processes processes = Processes.in(folder)) {
            process = processes.start("sleeper", List.of("sleep", "1000"));
            assertTrue(process.isAlive());
            if (stoppedBefore) {
                processes.stop(process);
            }
        }
        assertFalse(process.isAlive());
    }

    /** Guards against waiting for a process that has exited. */
    @Test
    void checkAliveReportsEndedProcess() throws InterruptedException {
        try (Processes processes = Processes.in(folder)) {
            processes
                    .start("failing", List.of("sh", "-c", "echo cause; exit 3"))
                    .waitFor();
            BenchException failure = assertThrows(BenchException.class, processes::checkAlive);
            assertTrue(failure.getMessage().contains("status 3")
                    && failure.getMessage().contains("cause"));
        }
    }

    /** Guards against a failed command that is reported as a success. */
    @Test
    void runReturnsOutputAndChecksExitStatus() {
        try (Processes processes = Processes.in(folder)) {
            assertEquals("done", processes.run("echo", List.of("echo", "done")));
            assertThrows(BenchException.class, () -> processes.run("false", List.of("sh", "-c", "exit 1")));
            processes.checkAlive();
        }
    }
}
