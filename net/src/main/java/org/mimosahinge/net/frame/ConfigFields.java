package org.mimosahinge.net.frame;

import java.time.Instant;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.mimosahinge.api.config.ConfigUpdate;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.RevisedSection;
import org.mimosahinge.api.document.SectionParser;

/** Encodes and decodes configuration updates, moves, halt marks and counts of call outcomes. */
final class ConfigFields {

    private ConfigFields() {}

    static void packUpdate(Packer out, ConfigUpdate update) {
        out.integer(update.baseVersion()).integer(update.version());
        out.list(update.sections().values(), ConfigFields::packSection);
        out.list(update.removedTeams(), Packer::text);
        out.list(update.moves().values(), ConfigFields::packMove);
        out.list(update.removedMoves(), Packer::text);
    }

    static ConfigUpdate unpackUpdate(Unpacker in) {
        long base = in.integer();
        long version = in.integer();
        SortedMap<String, RevisedSection> sections = new TreeMap<>();
        in.list(ConfigFields::unpackSection)
                .forEach(section -> sections.put(section.section().team(), section));
        Set<String> removed = Set.copyOf(in.list(Unpacker::text));
        SortedMap<String, MoveState> moves = new TreeMap<>();
        in.list(ConfigFields::unpackMove).forEach(move -> moves.put(move.service(), move));
        return new ConfigUpdate(base, version, sections, removed, moves, Set.copyOf(in.list(Unpacker::text)));
    }

    private static void packSection(Packer out, RevisedSection revised) {
        out.integer(revised.revision()).bytes(Deflate.compress(SectionParser.toJson(revised.section())));
    }

    private static RevisedSection unpackSection(Unpacker in) {
        long revision = in.integer();
        return new RevisedSection(revision, SectionParser.parse("frame", Deflate.decompress(in.bytes())));
    }

    private static void packMove(Packer out, MoveState move) {
        out.text(move.service()).text(move.from()).text(move.to()).integer(move.sectionRevision());
        out.integer(move.sharePermille()).integer(move.phase().ordinal()).text(move.reason());
        out.integer(move.since().toEpochMilli());
    }

    private static MoveState unpackMove(Unpacker in) {
        return new MoveState(
                in.text(),
                in.text(),
                in.text(),
                in.integer(),
                in.smallInteger(),
                in.enumConstant(MovePhase.values()),
                in.text(),
                Instant.ofEpochMilli(in.integer()));
    }

    static void packHaltMark(Packer out, HaltMark mark) {
        out.text(mark.service()).text(mark.version()).integer(mark.sectionRevision());
    }

    static HaltMark unpackHaltMark(Unpacker in) {
        return new HaltMark(in.text(), in.text(), in.integer());
    }

    static void packOutcomeCounts(Packer out, Frame.OutcomeCounts counts) {
        out.text(counts.version()).text(counts.route()).text(counts.zone()).integer(counts.calls());
        out.list(counts.failuresByKind(), Packer::integer).list(counts.callsByLatency(), Packer::integer);
    }

    static Frame.OutcomeCounts unpackOutcomeCounts(Unpacker in) {
        return new Frame.OutcomeCounts(
                in.text(), in.text(), in.text(), in.integer(), in.list(Unpacker::integer), in.list(Unpacker::integer));
    }
}
