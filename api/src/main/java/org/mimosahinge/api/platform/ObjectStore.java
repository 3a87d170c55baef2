package org.mimosahinge.api.platform;

import java.util.concurrent.CompletionStage;

/** The platform's object store, used for immutable objects named by their content. */
public interface ObjectStore {

    /**
     * Stores an object under its hash; storing it again changes nothing.
     *
     * @param content the object's bytes
     * @return the hash
     */
    CompletionStage<ObjectHash> put(byte[] content);

    /**
     * Fetches an object and verifies its hash.
     *
     * @param hash the hash
     * @return the object's bytes
     */
    CompletionStage<byte[]> get(ObjectHash hash);
}
