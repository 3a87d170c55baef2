package org.mimosahinge.net.frame;

import java.util.HashMap;
import java.util.Map;
import org.mimosahinge.api.config.ContentDelta;
import org.mimosahinge.api.error.FrameException;
import org.mimosahinge.api.platform.StorePosition;

/** Encodes and decodes operators' rows, their deltas, subscriptions and freshness. */
final class RowFields {

    private RowFields() {}

    static void packRow(Packer out, Frame.OperatorRow row) {
        // A negative revision announces a removed row; a release that knows none takes it for outdated.
        out.text(row.key())
                .integer(
                        row.removed()
                                ? -row.revision().number()
                                : row.revision().number())
                .bytes(Deflate.compress(row.content()));
    }

    static Frame.OperatorRow unpackRow(Unpacker in) {
        String key = in.text();
        long revision = in.integer();
        return new Frame.OperatorRow(
                key, StorePosition.ofNumber(Math.abs(revision)), Deflate.decompress(in.bytes()), revision < 0);
    }

    static void packSubscription(Packer out, Frame.RowSubscription subscription) {
        out.list(subscription.heldRevisions().entrySet(), (packer, row) -> packer.text(row.getKey())
                .integer(row.getValue().number()));
    }

    static Frame.RowSubscription unpackSubscription(Unpacker in) {
        Map<String, StorePosition> heldRevisions = new HashMap<>();
        in.list(row -> heldRevisions.put(row.text(), position(row)));
        return new Frame.RowSubscription(heldRevisions);
    }

    static void packDelta(Packer out, Frame.RowDelta row) {
        ContentDelta delta = row.delta();
        out.text(row.key())
                .integer(row.baseRevision().number())
                .integer(row.revision().number());
        out.integer(delta.targetLength()).integer(delta.checksum()).list(delta.instructions(), RowFields::packPart);
    }

    static Frame.RowDelta unpackDelta(Unpacker in) {
        return new Frame.RowDelta(
                in.text(),
                position(in),
                position(in),
                new ContentDelta(in.smallInteger(), in.integer(), in.list(RowFields::unpackPart)));
    }

    private static StorePosition position(Unpacker in) {
        return StorePosition.ofNumber(in.integer());
    }

    private static void packPart(Packer out, ContentDelta.Instruction part) {
        if (part instanceof ContentDelta.Copy copy) {
            out.flag(true).integer(copy.offset()).integer(copy.length());
        } else if (part instanceof ContentDelta.Insert insert) {
            out.flag(false).bytes(insert.bytes());
        }
    }

    private static ContentDelta.Instruction unpackPart(Unpacker in) {
        return in.flag()
                ? new ContentDelta.Copy(in.smallInteger(), in.smallInteger())
                : new ContentDelta.Insert(in.bytes());
    }

    static Frame.RowFreshness unpackFreshness(Unpacker in) {
        Frame.RowFreshness freshness = new Frame.RowFreshness(position(in), position(in), in.integer());
        if (freshness.platformMs() < 0) {
            throw new FrameException("Malformed frame: negative platform clock of " + freshness.platformMs() + " ms");
        }
        return freshness;
    }
}
