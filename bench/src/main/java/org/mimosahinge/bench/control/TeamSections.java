package org.mimosahinge.bench.control;

import java.nio.charset.StandardCharsets;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.document.SectionParser;

/** Creates sections of many teams with distinct services and paths. */
final class TeamSections {

    private TeamSections() {}

    /** Returns the section of a team; the path of its second route contains the content number. */
    static Section section(int team, int content) {
        String json =
                """
                {"team": "team-%1$d", "resources": [],
                 "services": [{"name": "service-%1$d", "versions": ["v1", "v2"], "current": "v1"}],
                 "routes": [
                   {"name": "browse", "pathPrefix": "/s%1$d/browse", "service": "service-%1$d",
                    "callClass": "interactive", "timeout": "2s", "idempotent": true},
                   {"name": "confirm", "pathPrefix": "/s%1$d/confirm-%2$d", "service": "service-%1$d",
                    "callClass": "confirmation", "timeout": "5s", "atMostOnce": true}]}
                """
                        .formatted(team, content);
        return SectionParser.parse("section", json.getBytes(StandardCharsets.UTF_8));
    }
}
