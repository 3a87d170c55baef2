package org.mimosahinge.cli;

import java.util.List;
import java.util.Set;

/**
 * One entry of the table of verbs.
 *
 * @param name the verb
 * @param argumentSyntax the arguments as help shows them
 * @param summary one line of help
 * @param minArguments fewest arguments
 * @param maxArguments most arguments
 * @param options options of this verb besides the common ones
 * @param action does the work
 */
record Verb(
        String name,
        String argumentSyntax,
        String summary,
        int minArguments,
        int maxArguments,
        Set<String> options,
        Action action) {
    /** Does the work of a verb. */
    @FunctionalInterface
    interface Action {
        /**
         * Runs the verb and reports what it finds.
         *
         * @param invocation the call
         * @throws org.mimosahinge.api.error.MimosahingeException when the verb fails
         */
        void run(Invocation invocation);
    }

    void checkUsage(Options givenOptions, List<String> givenArguments) {
        if (givenArguments.size() < minArguments || givenArguments.size() > maxArguments) {
            throw new UsageException("Usage: mimosahinge " + name + " " + argumentSyntax);
        }
        givenOptions.givenNames().stream()
                .filter(option -> !Options.COMMON.contains(option) && !options.contains(option))
                .sorted()
                .findFirst()
                .ifPresent(option -> {
                    throw new UsageException("--" + option + " does not belong to " + name);
                });
    }
}
