package org.jujubefork.core.ownership;

import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.ShardId;

/** Assigns workers to shards by availability zone and rack. */
public final class Sharding {
    private Sharding() {}

    /**
     * Returns the shard of a worker at {@code location}: the zone itself if {@code shardsPerZone}
     * is one, and otherwise {@code zone/index} with an index that is computed from a hash of the
     * rack.
     */
    public static ShardId shardOf(Location location, int shardsPerZone) {
        if (shardsPerZone == 1) {
            return ShardId.of(location.zone());
        }
        long index = Long.remainderUnsigned(hash(location.rack(), 0), shardsPerZone);
        return ShardId.of(location.zone() + "/" + index);
    }

    /** Returns the availability zone of {@code shard}, which is the id up to the first slash. */
    public static String zoneOf(ShardId shard) {
        int slash = shard.value().indexOf('/');
        return slash < 0 ? shard.value() : shard.value().substring(0, slash);
    }

    /**
     * Returns a hash of {@code text} that is the same on all entries: 64-bit FNV-1a with a final
     * mixing step, so that the hashes of similar texts differ in all bits.
     */
    static long hash(String text, long seed) {
        long h = 0xcbf29ce484222325L ^ seed;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        h = (h ^ (h >>> 33)) * 0xff51afd7ed558ccdL;
        h = (h ^ (h >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return h ^ (h >>> 33);
    }
}
