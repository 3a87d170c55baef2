package org.mimosahinge.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.mimosahinge.api.config.Head;
import org.mimosahinge.api.config.RevisedSection;
import org.mimosahinge.api.config.SectionRef;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.document.SectionParser;
import org.mimosahinge.api.platform.ObjectStore;

/** Fetches sections from the object store. */
final class SectionFetcher {

    private SectionFetcher() {}

    /** Fetches the sections of a head whose revisions differ from those in the snapshot. */
    static CompletionStage<SortedMap<String, RevisedSection>> fetchMissing(
            ObjectStore objects, Head head, Snapshot current) {
        List<CompletableFuture<RevisedSection>> fetches = new ArrayList<>();
        for (SectionRef reference : head.sections().values()) {
            RevisedSection currentSection = current.sections().get(reference.team());
            if (currentSection == null || currentSection.revision() != reference.revision()) {
                fetches.add(fetch(objects, reference).toCompletableFuture());
            }
        }
        return CompletableFuture.allOf(fetches.toArray(CompletableFuture[]::new))
                .thenApply(done -> {
                    SortedMap<String, RevisedSection> sections = new TreeMap<>();
                    fetches.forEach(fetch -> {
                        RevisedSection section = fetch.join();
                        sections.put(section.section().team(), section);
                    });
                    return sections;
                });
    }

    private static CompletionStage<RevisedSection> fetch(ObjectStore objects, SectionRef reference) {
        return objects.get(reference.hash())
                .thenApply(content ->
                        new RevisedSection(reference.revision(), SectionParser.parse(reference.team(), content)));
    }
}
