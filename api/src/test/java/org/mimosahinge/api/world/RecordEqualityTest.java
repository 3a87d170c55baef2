package org.mimosahinge.api.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.RouteAccess;
import org.mimosahinge.api.contract.ServiceShare;

/** Guards against a written out {@code equals} that leaves a component out, for example after one was added. */
class RecordEqualityTest {

    private static final HostPort ADDRESS = new HostPort("10.0.0.1", 80);
    private static final AvailabilityZone ZONE = new AvailabilityZone("a", new Region("west"));
    private static final Node NODE = new Node(new NodeId("n"), 1, ZONE, ADDRESS);
    private static final LogicalTimestamp TIMESTAMP = new LogicalTimestamp(1, 2);
    private static final BackendServer SERVER = new BackendServer("s", "v1", ADDRESS, 8, 100, Set.of("r"));

    /** Values of each type, none of which occurs in the records above at the same place. */
    private static final List<Object> OTHER_VALUES = List.of(
            "other",
            77,
            77L,
            Duration.ofSeconds(77),
            CallClass.BATCH,
            EndpointState.DRAINING,
            List.of(new ServiceShare("other", 1)),
            Set.of("other"),
            new Region("other"),
            new NodeId("other"),
            new HostPort("10.0.0.9", 80),
            new AvailabilityZone("other", new Region("west")),
            new LogicalTimestamp(77, 2),
            new Node(new NodeId("other"), 1, ZONE, ADDRESS),
            new BackendServer("other", "v1", ADDRESS, 8, 100, Set.of("r")),
            new RouteAccess(true, Set.of("other")));

    private static Stream<Record> records() {
        return Stream.of(
                ADDRESS,
                ZONE,
                ZONE.region(),
                NODE,
                NODE.id(),
                TIMESTAMP,
                SERVER,
                new Endpoint("e", SERVER, NODE, EndpointState.READY, TIMESTAMP),
                new ServiceShare("s", 3),
                RouteAccess.STANDARD,
                Route.builder("r").shares(List.of(new ServiceShare("s", 3))).build());
    }

    private static Stream<Arguments> components() {
        return records().flatMap(each -> IntStream.range(0, each.getClass().getRecordComponents().length)
                .mapToObj(
                        i -> arguments(each.getClass().getRecordComponents()[i].getName(), each, i)));
    }

    @ParameterizedTest
    @MethodSource("records")
    void copyIsEqual(Record original) {
        Record copy = create(original.getClass(), values(original));
        assertEquals(original, copy);
        assertEquals(original.hashCode(), copy.hashCode());
        assertNotEquals(original, "another type");
    }

    @ParameterizedTest(name = "{0} of {1}")
    @MethodSource("components")
    void recordWithAnotherComponentDiffers(String name, Record original, int component) {
        Object[] values = values(original);
        values[component] = otherValue(values[component]);
        assertNotEquals(original, create(original.getClass(), values));
    }

    private static Object otherValue(Object value) {
        if (value instanceof Boolean flag) {
            return !flag;
        }
        return OTHER_VALUES.stream()
                .filter(other -> other.getClass() == value.getClass() || isSameCollection(other, value))
                .findFirst()
                .orElseThrow(() -> new AssertionError("No other value of " + value.getClass()));
    }

    private static boolean isSameCollection(Object other, Object value) {
        return other instanceof List && value instanceof List || other instanceof Set && value instanceof Set;
    }

    private static Object[] values(Record original) {
        return Arrays.stream(original.getClass().getRecordComponents())
                .map(component -> {
                    try {
                        return component.getAccessor().invoke(original);
                    } catch (ReflectiveOperationException e) {
                        throw new AssertionError(e);
                    }
                })
                .toArray();
    }

    private static Record create(Class<? extends Record> type, Object[] values) {
        Class<?>[] types = Arrays.stream(type.getRecordComponents())
                .map(RecordComponent::getType)
                .toArray(Class<?>[]::new);
        try {
            return type.getDeclaredConstructor(types).newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(e);
        }
    }
}
