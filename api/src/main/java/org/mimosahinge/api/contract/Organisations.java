package org.mimosahinge.api.contract;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosahinge.api.error.DuplicateNameException;
import org.mimosahinge.api.platform.ObjectHash;

/** The organisations of a configuration, indexed by name and by API key; immutable. */
public final class Organisations {

    /** No organisations: callers need no key. */
    public static final Organisations NONE = new Organisations(List.of());

    private final List<Organisation> all;
    private final Map<String, Organisation> byName = new HashMap<>();
    private final Map<String, Organisation> byKeyHash = new HashMap<>();

    private Organisations(Collection<Organisation> organisations) {
        all = List.copyOf(organisations);
        for (Organisation organisation : all) {
            if (byName.put(organisation.name(), organisation) != null) {
                throw new DuplicateNameException("Organisation \"" + organisation.name() + "\" is defined twice");
            }
            for (String hash : organisation.keyHashes()) {
                Organisation other = byKeyHash.put(hash, organisation);
                if (other != null) {
                    throw new DuplicateNameException("Organisations \"" + other.name() + "\" and \""
                            + organisation.name() + "\" have the same API key");
                }
            }
        }
    }

    /**
     * Creates the index.
     *
     * @param organisations the organisations
     * @return the index
     * @throws DuplicateNameException if two of them have the same name or the same key
     */
    public static Organisations of(Collection<Organisation> organisations) {
        return organisations.isEmpty() ? NONE : new Organisations(organisations);
    }

    /**
     * Returns whether there are no organisations, so that callers need no key.
     *
     * @return true without organisations
     */
    public boolean isEmpty() {
        return all.isEmpty();
    }

    /**
     * Returns all organisations.
     *
     * @return the organisations in the order of the configuration
     */
    public List<Organisation> all() {
        return all;
    }

    /**
     * Finds an organisation by its name.
     *
     * @param name the name
     * @return the organisation, empty if there is none
     */
    public Optional<Organisation> named(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Finds the organisation that holds an API key. Keys are compared by their hashes, so the time tells nothing about
     * how much of a key is right.
     *
     * @param key the key
     * @return the organisation, empty if none holds the key
     */
    public Optional<Organisation> withKey(String key) {
        return Optional.ofNullable(byKeyHash.get(ObjectHash.of(key).hex()));
    }

    @Override
    public boolean equals(Object other) {
        return this == other || other instanceof Organisations organisations && all.equals(organisations.all);
    }

    @Override
    public int hashCode() {
        return all.hashCode();
    }
}
