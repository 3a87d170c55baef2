package org.mimosahinge.api.document;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.mimosahinge.api.document.Cursor.ValueReader;
import org.mimosahinge.api.document.JsonValue.Kind;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.InvalidAddressException;
import org.mimosahinge.api.world.HostPort;

/** Readers of the value types in documents and settings. */
final class ValueReaders {
    /** Names of teams, services, routes, resources, zones and regions. They are used in row keys and URIs. */
    static final ValueReader<String> NAME = text(
            Pattern.compile("[a-z][a-z0-9-]{0,62}"),
            "a name of 1 to 63 lower-case letters, digits and hyphens that starts with a letter");

    /** Backend server versions and node ids. */
    static final ValueReader<String> IDENTIFIER = text(
            Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}"),
            "1 to 63 letters, digits, dots, underscores and hyphens");

    /** Path prefixes in a unique form, so that no two prefixes differ only in a slash. */
    static final ValueReader<String> PATH_PREFIX = text(
            Pattern.compile("/|(/(?!\\.{1,2}(/|$))[A-Za-z0-9._~!$&'()*+,;=:@%-]+){1,32}"),
            "\"/\" or a path that starts with a slash, without a slash at the end, empty or dot segments");

    private static final Instant MIN_INSTANT = Instant.parse("2000-01-01T00:00:00Z");
    private static final Instant MAX_INSTANT = Instant.parse("2100-01-01T00:00:00Z");
    private static final Pattern INTEGER = Pattern.compile("-?[0-9]+");
    private static final Pattern IPV4 = Pattern.compile("((25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])(\\.(?!$)|$)){4}");

    private ValueReaders() {}

    static ValueReader<String> text(Pattern pattern, String expected) {
        return cursor -> {
            Optional<String> text = scalar(cursor, Kind.TEXT, expected);
            text.filter(value -> !pattern.matcher(value).matches())
                    .ifPresent(value -> cursor.report(ErrorCode.INVALID_VALUE, expected));
            return text;
        };
    }

    static ValueReader<Boolean> bool() {
        return cursor -> scalar(cursor, Kind.BOOLEAN, "true or false").map(Boolean::valueOf);
    }

    static ValueReader<Integer> integer(int min, int max) {
        String expected = "a whole number from " + min + " to " + max;
        return cursor -> {
            Optional<String> digits = scalar(cursor, Kind.NUMBER, expected);
            if (digits.isEmpty()) {
                return Optional.empty();
            }
            if (!INTEGER.matcher(digits.get()).matches()) {
                cursor.report(ErrorCode.INVALID_VALUE, expected);
                return Optional.empty();
            }
            // Every int fits into 11 characters including its sign; longer numbers are out of any range used here.
            long value = digits.get().length() > 11 ? Long.MAX_VALUE : Long.parseLong(digits.get());
            if (value < min || value > max) {
                cursor.report(ErrorCode.OUT_OF_RANGE, expected);
                return Optional.empty();
            }
            return Optional.of((int) value);
        };
    }

    static ValueReader<Double> number(double min, double max) {
        String expected = String.format(Locale.ROOT, "a number from %.0f to %.0f", min, max);
        return cursor -> {
            // JSON has no other numbers than those that this parses; too long ones become infinite.
            Optional<Double> number = scalar(cursor, Kind.NUMBER, expected).map(Double::valueOf);
            if (number.isPresent() && (number.get() < min || number.get() > max)) {
                cursor.report(ErrorCode.OUT_OF_RANGE, expected);
                return Optional.empty();
            }
            return number;
        };
    }

    static ValueReader<Duration> duration(Duration min, Duration max) {
        String range = "a duration from " + Durations.format(min) + " to " + Durations.format(max);
        return cursor -> {
            Optional<Duration> duration = cursor.scalar(Kind.TEXT).flatMap(Durations::parse);
            if (duration.isEmpty()) {
                cursor.report(ErrorCode.INVALID_VALUE, range + " with a unit, such as \"500ms\", \"2s\" or \"1m\"");
                return duration;
            }
            if (duration.get().compareTo(min) < 0 || duration.get().compareTo(max) > 0) {
                cursor.report(ErrorCode.OUT_OF_RANGE, range);
            }
            return duration;
        };
    }

    static ValueReader<Instant> instant() {
        return cursor -> {
            Optional<Instant> instant = cursor.scalar(Kind.TEXT).flatMap(ValueReaders::parseInstant);
            if (instant.isEmpty()) {
                cursor.report(ErrorCode.INVALID_VALUE, "an ISO-8601 instant such as \"2026-12-04T10:00:00Z\"");
            } else if (instant.get().isBefore(MIN_INSTANT) || instant.get().isAfter(MAX_INSTANT)) {
                cursor.report(ErrorCode.OUT_OF_RANGE, "an instant from " + MIN_INSTANT + " to " + MAX_INSTANT);
            }
            return instant;
        };
    }

    static ValueReader<HostPort> address() {
        return cursor -> {
            Optional<HostPort> address = cursor.scalar(Kind.TEXT).flatMap(ValueReaders::parseAddress);
            if (address.isEmpty()) {
                cursor.report(ErrorCode.INVALID_ADDRESS, "an IPv4 address and a port, such as \"10.0.0.7:7070\"");
            } else if (address.get().port() < 1 || address.get().port() > 65535) {
                cursor.report(ErrorCode.OUT_OF_RANGE, "a port from 1 to 65535");
            }
            return address;
        };
    }

    static <T> ValueReader<T> oneOf(Map<String, T> choices) {
        String expected = "one of " + String.join(", ", choices.keySet());
        return cursor -> {
            Optional<T> choice = cursor.scalar(Kind.TEXT).map(choices::get);
            if (choice.isEmpty()) {
                cursor.report(ErrorCode.INVALID_VALUE, expected);
            }
            return choice;
        };
    }

    /**
     * Reads a list. Unusable items are reported and omitted.
     *
     * <p>Of an array truncated by a syntax error only the problems are reported, because references into it cannot be
     * checked.
     */
    static <T> ValueReader<List<T>> list(ValueReader<T> item) {
        return cursor -> {
            Optional<List<Cursor>> items = cursor.items();
            if (items.isEmpty()) {
                cursor.report(ErrorCode.INVALID_VALUE, "an array");
            }
            return items.map(all -> all.stream()
                            .map(item::read)
                            .flatMap(Optional::stream)
                            .toList())
                    .filter(read -> cursor.complete());
        };
    }

    /** Reads a list of names and reports duplicates. */
    static ValueReader<List<String>> uniqueNames(ValueReader<String> item) {
        ValueReader<List<String>> list = list(item);
        return cursor -> {
            reportDuplicates(cursor.items().orElse(List.of()));
            return list.read(cursor);
        };
    }

    static ValueReader<Set<String>> nameSet(ValueReader<String> item) {
        ValueReader<List<String>> names = uniqueNames(item);
        return cursor -> names.read(cursor).map(HashSet::new);
    }

    /** Reports each string that also occurs at an earlier position. */
    static void reportDuplicates(Collection<Cursor> cursors) {
        Set<String> seen = new HashSet<>();
        for (Cursor cursor : cursors) {
            if (!cursor.scalar(Kind.TEXT).map(seen::add).orElse(true)) {
                cursor.report(ErrorCode.DUPLICATE_NAME, "each name once");
            }
        }
    }

    /** Reports each string value of a field that an earlier object of the list also contains. */
    static void reportDuplicates(Optional<Cursor> list, String field) {
        List<Cursor> values = new ArrayList<>();
        list.flatMap(Cursor::items)
                .ifPresent(items -> items.forEach(
                        item -> item.members(field).stream().findFirst().ifPresent(values::add)));
        reportDuplicates(values);
    }

    private static Optional<String> scalar(Cursor cursor, Kind kind, String expected) {
        Optional<String> text = cursor.scalar(kind);
        if (text.isEmpty()) {
            cursor.report(ErrorCode.INVALID_VALUE, expected);
        }
        return text;
    }

    private static Optional<Instant> parseInstant(String text) {
        try {
            return Optional.of(OffsetDateTime.parse(text).toInstant());
        } catch (DateTimeException e) {
            return Optional.empty();
        }
    }

    private static Optional<HostPort> parseAddress(String text) {
        try {
            return Optional.of(HostPort.parse(text))
                    .filter(address -> IPV4.matcher(address.host()).matches());
        } catch (InvalidAddressException e) {
            return Optional.empty();
        }
    }
}
