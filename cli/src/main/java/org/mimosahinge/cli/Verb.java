package org.mimosahinge.cli;

import java.util.List;
import java.util.Set;

/**
 * One entry of the table of verbs.
 *
 * @param name the verb
 * @param arguments the arguments as help shows them
 * @param summary one line of help
 * @param least fewest arguments
 * @param most most arguments
 * @param options options of this verb besides the common ones
 * @param action does the work
 */
record Verb(String name, String arguments, String summary, int least, int most, Set<String> options, Action action) {
    /** Does the work of a verb. */
    @FunctionalInterface
    interface Action {
        /**
         * Runs the verb and reports what it finds.
         *
         * @param call the call
         * @throws org.mimosahinge.api.error.MimosahingeException when the verb fails
         */
        void run(Invocation call);
    }

    void checkUsage(Options given, List<String> words) {
        if (words.size() < least || words.size() > most) {
            throw new UsageException("Usage: mimosahinge " + name + " " + arguments);
        }
        given.names().stream()
                .filter(option -> !Options.COMMON.contains(option) && !options.contains(option))
                .sorted()
                .findFirst()
                .ifPresent(option -> {
                    throw new UsageException("--" + option + " does not belong to " + name);
                });
    }
}
