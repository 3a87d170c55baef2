package org.mimosahinge.api.platform;

import java.util.concurrent.CompletionStage;

/** The platform's object store. Objects are immutable and addressed by the hash of their content. */
public interface ObjectStore {

    /**
     * Stores an object under its hash. This operation is idempotent.
     *
     * @param content content of the object
     * @return hash of the object
     */
    CompletionStage<ObjectHash> put(byte[] content);

    /**
     * Fetches an object and verifies its hash.
     *
     * @param hash hash of the object
     * @return content of the object
     */
    CompletionStage<byte[]> get(ObjectHash hash);
}
