package org.mimosahinge.api.document;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Quota;
import org.mimosahinge.api.document.Cursor.ValueReader;
import org.mimosahinge.api.document.JsonValue.Kind;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.platform.ObjectHash;

/** Reads the organisations of a section. API keys are known by their hashes only from here on; problems show none. */
final class OrganisationReader {

    static final ValueReader<Organisation> ORGANISATION = ObjectFields.object(OrganisationReader::read);

    private static final double MAX_CALLS_PER_S = 1_000_000;
    private static final int MAX_BURST = 1_000_000;

    /** How API keys are written in a document. */
    private enum KeyForm {
        // A key is sent as a bearer token, which ends at a space.
        CLEAR("keys", "[!-~]{1,512}", "1 to 512 ASCII characters without spaces", key -> ObjectHash.of(key)
                .hex()),
        HASH("keyHashes", "[0-9a-f]{64}", "a SHA-256 hash in 64 lower-case hexadecimal digits", Function.identity());

        private final String field;
        private final Pattern pattern;
        private final String expected;
        private final Function<String, String> hash;

        KeyForm(String field, String pattern, String expected, Function<String, String> hash) {
            this.field = field;
            this.pattern = Pattern.compile(pattern);
            this.expected = expected;
            this.hash = hash;
        }

        Optional<String> hashOf(Cursor key) {
            return key.scalar(Kind.TEXT)
                    .filter(text -> pattern.matcher(text).matches())
                    .map(hash);
        }

        Optional<Set<String>> readHashes(Cursor cursor) {
            Optional<List<Cursor>> keys = cursor.items();
            if (keys.isEmpty()) {
                cursor.reportHidden(ErrorCode.INVALID_VALUE, "an array");
                return Optional.empty();
            }
            keys.get().stream()
                    .filter(key -> hashOf(key).isEmpty())
                    .forEach(key -> key.reportHidden(ErrorCode.INVALID_VALUE, expected));
            return keys.map(all ->
                            all.stream().flatMap(key -> hashOf(key).stream()).collect(Collectors.toUnmodifiableSet()))
                    .filter(hashes -> cursor.complete());
        }
    }

    private OrganisationReader() {}

    private static Optional<Organisation> read(ObjectFields fields) {
        Optional<String> name = fields.required("name", ValueReaders.NAME);
        Optional<Set<String>> clear = fields.optional("keys", Set.of(), KeyForm.CLEAR::readHashes);
        Optional<Set<String>> hashes = fields.optional("keyHashes", Set.of(), KeyForm.HASH::readHashes);
        Optional<Optional<CallClass>> priority = fields.optional(
                "priority", Optional.empty(), cursor -> ValueReaders.oneOf(SectionReader.CALL_CLASSES_BY_NAME)
                        .read(cursor)
                        .map(Optional::of));
        Optional<Double> rate = fields.optional("rate", 0.0, ValueReaders.number(0, MAX_CALLS_PER_S));
        Optional<Integer> burst = fields.optional("burst", 0, ValueReaders.integer(0, MAX_BURST));
        Optional<Set<String>> regions = fields.optional("regions", Set.of(), ValueReaders.nameSet(ValueReaders.NAME));
        if (rate.equals(Optional.of(0.0)) && burst.orElse(0) > 0) {
            fields.first("burst").ifPresent(value -> value.report(ErrorCode.INVALID_VALUE, "0 without a rate"));
        }
        return SectionReader.allPresent(name, clear, hashes, priority, rate, burst, regions)
                ? Optional.of(new Organisation(
                        name.get(),
                        Stream.concat(clear.get().stream(), hashes.get().stream())
                                .collect(Collectors.toUnmodifiableSet()),
                        priority.get(),
                        rate.get() > 0 ? new Quota(rate.get(), burst.get()) : Quota.UNLIMITED,
                        regions.get()))
                : Optional.empty();
    }

    /** Reports each key that also occurs at an earlier position, in clear or as a hash. */
    static void reportDuplicateKeys(Optional<Cursor> organisations) {
        Set<String> seen = new HashSet<>();
        for (Cursor organisation : organisations.flatMap(Cursor::items).orElse(List.of())) {
            for (KeyForm form : KeyForm.values()) {
                organisation.members(form.field).stream()
                        .flatMap(keys -> keys.items().stream().flatMap(List::stream))
                        .filter(key -> !form.hashOf(key).map(seen::add).orElse(true))
                        .forEach(key -> key.reportHidden(ErrorCode.DUPLICATE_NAME, "each key once"));
            }
        }
    }
}
