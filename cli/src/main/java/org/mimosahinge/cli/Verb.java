package org.mimosahinge.cli;

import java.util.List;
import java.util.Set;

/**
 * Definition of a verb.
 *
 * @param name the verb
 * @param argumentSyntax the positional arguments as shown in the help text
 * @param summary one-line description in the help text
 * @param minArguments minimum number of positional arguments
 * @param maxArguments maximum number of positional arguments
 * @param options names of the options that this verb accepts besides {@link Options#COMMON}
 * @param action implementation of the verb
 */
record Verb(
        String name,
        String argumentSyntax,
        String summary,
        int minArguments,
        int maxArguments,
        Set<String> options,
        Action action) {
    /** Implementation of a verb. */
    @FunctionalInterface
    interface Action {
        /**
         * Runs the verb and passes its reports to the output of the invocation.
         *
         * @param invocation the arguments, client and output to use
         * @throws org.mimosahinge.api.error.MimosahingeException when the verb fails
         */
        void run(Invocation invocation);
    }

    /** Throws a {@link UsageException} unless the verb accepts these options and this number of arguments. */
    void checkUsage(Options givenOptions, List<String> givenArguments) {
        if (givenArguments.size() < minArguments || givenArguments.size() > maxArguments) {
            throw new UsageException("Usage: mimosahinge " + name + " " + argumentSyntax);
        }
        givenOptions.givenNames().stream()
                .filter(option -> !Options.COMMON.contains(option) && !options.contains(option))
                .sorted()
                .findFirst()
                .ifPresent(option -> {
                    throw new UsageException("--" + option + " is not an option of " + name);
                });
    }
}
