package org.jujubefork.core.model;

/**
 * The region, availability zone and rack of a VM.
 *
 * @param region the region, whose name also selects the site overlay of the configuration
 * @param zone the availability zone, unique across regions
 * @param rack the rack; empty for an entry
 */
public record Location(String region, String zone, String rack) {
    /** Checks that region and zone are valid identifiers. */
    public Location {
        Identifiers.check("region", region);
        Identifiers.check("zone", zone);
    }

    /** Returns the location with the given region, zone and rack. */
    public static Location of(String region, String zone, String rack) {
        return new Location(region, zone, rack);
    }

    /** Returns the network distance to {@code other}. */
    public Distance distanceTo(Location other) {
        if (!region.equals(other.region)) {
            return Distance.OTHER_REGION;
        }
        return zone.equals(other.zone) ? Distance.SAME_ZONE : Distance.SAME_REGION;
    }
}
