package org.mimosahinge.net.frame;

import org.mimosahinge.api.error.FrameException;

/** Fields of the frames between nodes and their quota coordinator. */
final class QuotaFields {

    private QuotaFields() {}

    static void packUse(Packer out, Frame.QuotaUse use) {
        out.flag(use.first()).list(use.uses(), (packer, element) -> packer.text(element.organisation())
                .integer(element.admitted())
                .integer(element.refused()));
    }

    static Frame.QuotaUse unpackUse(Unpacker in) {
        return new Frame.QuotaUse(
                in.flag(),
                in.list(element -> new Frame.OrganisationUse(element.text(), element.integer(), element.integer())));
    }

    static void packAllowances(Packer out, Frame.QuotaAllowances frame) {
        out.list(frame.allowances(), (packer, allowance) -> packer.text(allowance.organisation())
                .integer(allowance.permille())
                .integer(allowance.waitMs())
                .integer(allowance.spreadMs()));
    }

    static Frame.QuotaAllowances unpackAllowances(Unpacker in) {
        return new Frame.QuotaAllowances(in.list(element ->
                new Frame.Allowance(element.text(), element.permille(), notNegative(element), notNegative(element))));
    }

    private static int notNegative(Unpacker in) {
        int value = in.smallInteger();
        if (value < 0) {
            throw new FrameException("Malformed frame: time " + value + " is negative");
        }
        return value;
    }
}
