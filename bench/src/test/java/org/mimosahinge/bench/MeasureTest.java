package org.mimosahinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.bench.MeasurementPrinter.MeasuredValue;

/** Tests the dispatch by name and the output format of measurements. */
class MeasureTest {

    private static final Map<String, Measurement> MEASUREMENTS = Map.of(
            "sum",
                    (full, printer) ->
                            printer.print(new MeasuredValue("sum.value", full ? 2 : 1.25, "ms"), "none", 0.39),
            "broken",
                    (full, printer) -> {
                        throw new BenchException("cause");
                    });

    /** Guards against a changed output format, which makes runs incomparable, and against a failure with exit status 0. */
    @ParameterizedTest
    @MethodSource("commands")
    void dispatchesByName(String[] command, int status, String output) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        assertEquals(status, Measure.run(MEASUREMENTS, command, new PrintStream(bytes, true, StandardCharsets.UTF_8)));
        assertEquals(output, bytes.toString(StandardCharsets.UTF_8).strip());
    }

    static Stream<Arguments> commands() {
        return Stream.of(
                arguments(
                        new String[] {"sum"},
                        0,
                        "measure name=sum.value value=1.250 unit=ms baseline=none baseline_value=0.3900"
                                + " command=\"bin/measure sum\""),
                arguments(
                        new String[] {"sum", "--full"},
                        0,
                        "measure name=sum.value value=2 unit=ms baseline=none baseline_value=0.3900"
                                + " command=\"bin/measure sum --full\""),
                arguments(new String[] {"broken"}, 1, ""),
                arguments(new String[] {"unknown"}, 2, ""),
                arguments(new String[] {"sum", "--fast"}, 2, ""),
                arguments(new String[] {}, 2, ""));
    }
}
