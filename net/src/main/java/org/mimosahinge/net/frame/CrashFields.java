package org.mimosahinge.net.frame;

import java.util.List;

/** Packs and unpacks what nodes tell each other about requests that were in flight at crashes. */
final class CrashFields {

    private CrashFields() {}

    static void packCrashes(Packer out, Frame.RequestCrashes crashes) {
        out.text(crashes.route()).text(crashes.method()).text(crashes.uri()).text(crashes.bodyHash());
        // A negative number announces the lists, which earlier releases neither send nor read.
        out.integer(-1 - crashes.refusedForMs());
        out.list(crashes.lost(), CrashFields::packStart).list(crashes.cleared(), CrashFields::packStart);
    }

    static Frame.RequestCrashes unpackCrashes(Unpacker in) {
        String route = in.text();
        String method = in.text();
        String uri = in.text();
        String bodyHash = in.text();
        long refusedForMs = in.integer();
        return refusedForMs >= 0
                ? new Frame.RequestCrashes(route, method, uri, bodyHash, refusedForMs, List.of(), List.of())
                : new Frame.RequestCrashes(
                        route,
                        method,
                        uri,
                        bodyHash,
                        -1 - refusedForMs,
                        in.list(CrashFields::unpackStart),
                        in.list(CrashFields::unpackStart));
    }

    private static void packStart(Packer out, Frame.LostStart start) {
        out.text(start.endpointId()).integer(start.birth()).integer(start.ordinal());
    }

    private static Frame.LostStart unpackStart(Unpacker in) {
        return new Frame.LostStart(in.text(), in.integer(), in.smallInteger());
    }
}
