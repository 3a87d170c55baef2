package org.mimosahinge.core.fanout;

/** A 64-bit hash for ranking nodes, identical on every VM and in every release. */
final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Hashes text with FNV-1a and the finalizer of MurmurHash3, which spreads the hashes of short similar names.
     *
     * @param text the text
     * @return the hash
     */
    static long of(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }
}
