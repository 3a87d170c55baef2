package org.mimosahinge.api.platform;

import java.util.concurrent.CompletionStage;

/**
 * The platform's transactional table service.
 *
 * <p>Stages complete exceptionally with {@link org.mimosahinge.api.error.PlatformException}. Its error
 * code distinguishes a write that certainly did not happen ({@code platform_unavailable}) from one that may have
 * happened ({@code platform_answer_lost}).
 */
public interface TableService {

    /**
     * Commits a transaction.
     *
     * @param transaction conditions and writes
     * @return the outcome
     */
    CompletionStage<TransactionResult> commit(Transaction transaction);

    /**
     * Reads rows from one consistent view.
     *
     * @param request keys and key prefixes to read
     * @return the rows found
     */
    CompletionStage<ReadResult> read(ReadRequest request);
}
