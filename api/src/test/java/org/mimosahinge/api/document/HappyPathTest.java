package org.mimosahinge.api.document;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.operator.DocumentView;
import org.mimosahinge.api.operator.OperatorJson;
import org.mimosahinge.api.settings.NodeSettings;

class HappyPathTest {

    /** Guards against a valid section being refused or read with other values. */
    @Test
    void readsTheSectionOfTheDesignPage() {
        Section section = SectionParser.parse("listings.json", Documents.utf8(Documents.SECTION));
        assertEquals("listings", section.team());
        assertEquals(CallClass.INTERACTIVE, section.routes().get(0).callClass());
        assertEquals(Duration.ofSeconds(2), section.routes().get(0).timeout());
        assertEquals(section, SectionParser.parse("canonical", SectionParser.toJson(section)));
        assertEquals(List.of(), DocumentCheck.check(Map.of("listings", section)));
        DocumentView view = new DocumentView(7, List.of(new DocumentView.SectionView("listings", 3, section)));
        assertEquals(view, OperatorJson.read(DocumentView.class, OperatorJson.write(view)));
    }

    /** Guards against settings that lose their defaults. */
    @Test
    void readsSettingsWithDefaults() {
        NodeSettings settings = SettingsParser.parse("node.json", Documents.utf8(Documents.SETTINGS));
        assertEquals("10.0.0.7:7070", settings.peerAddress().toString());
        assertEquals("ch-west", settings.region().name());
        assertEquals(Duration.ofSeconds(3), settings.leaseTtl());
        assertEquals(1000, settings.logSampling());
    }
}
