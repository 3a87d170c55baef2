package org.mimosahinge.core.organisation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Quota;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.RouteAccess;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.api.error.DuplicateNameException;
import org.mimosahinge.api.platform.ObjectHash;

/** Guards against calls that run for the wrong organisation, for none, or with a key that nobody holds. */
class AccessPolicyTest {

    private static Organisation organisation(String name, String... keys) {
        Set<String> hashes =
                Stream.of(keys).map(key -> ObjectHash.of(key).hex()).collect(Collectors.toSet());
        return new Organisation(name, hashes, Optional.empty(), Quota.UNLIMITED, Set.of());
    }

    private static Route route(boolean anonymous) {
        return Route.builder("r")
                .matching("h.example", "/a/")
                .shares(List.of(new ServiceShare("shop", 1)))
                .access(new RouteAccess(anonymous, Set.of()))
                .build();
    }

    /** The key {@code old} was taken away from {@code alpha}; {@code gone} has lost all its keys. */
    private static Organisations configured() {
        return Organisations.of(
                List.of(organisation("alpha", "a1", "a2"), organisation("beta", "b1"), organisation("gone")));
    }

    private static String name(AccessDecision decision) {
        if (decision instanceof AccessDecision.Member member) {
            return member.organisation().name();
        }
        return decision instanceof AccessDecision.Anonymous ? "anonymous" : "unknown";
    }

    @ParameterizedTest(name = "organisations {0}, anonymous route {1}, key {2}: {3}")
    @CsvSource({
        "true, false, a1, alpha",
        "true, false, a2, alpha",
        "true, false, b1, beta",
        "true, false, old, unknown",
        "true, false, A1, unknown",
        "true, false, '', unknown",
        "true, false, , unknown",
        "true, true, a1, anonymous",
        "true, true, old, anonymous",
        "true, true, , anonymous",
        "false, false, a1, anonymous",
        "false, false, , anonymous"
    })
    void theKeyDecidesTheOrganisation(boolean organisations, boolean anonymous, String key, String expected) {
        AccessDecision decision = AccessPolicy.decide(
                organisations ? configured() : Organisations.NONE, route(anonymous), Optional.ofNullable(key));
        assertEquals(expected, name(decision));
    }

    /** The hash is in the memory of all nodes; presented as a key it must not open a route. */
    @ParameterizedTest(name = "key {0}")
    @CsvSource({"a1", "b1"})
    void theHashOfAKeyIsNoKey(String key) {
        String hash = ObjectHash.of(key).hex();
        assertEquals("unknown", name(AccessPolicy.decide(configured(), route(false), Optional.of(hash))));
    }

    /** The reason goes to callers and logs. */
    @ParameterizedTest(name = "key {0}")
    @CsvSource({"secret-of-nobody", "old"})
    void theReasonDoesNotRepeatTheKey(String key) {
        AccessDecision decision = AccessPolicy.decide(configured(), route(false), Optional.of(key));
        assertFalse(((AccessDecision.Unknown) decision).reason().contains(key));
    }

    @ParameterizedTest(name = "{0} with key {1}, {2} with key {3}")
    @CsvSource({"alpha, k, beta, k", "alpha, k, alpha, m"})
    void sharedKeysAndNamesAreRefused(String name, String key, String otherName, String otherKey) {
        List<Organisation> all = List.of(organisation(name, key), organisation(otherName, otherKey));
        assertThrows(DuplicateNameException.class, () -> Organisations.of(all));
    }
}
