package org.jujubefork.core.model;

/**
 * Where a VM stands.
 *
 * @param region the region, which is also the site of configuration overlays
 * @param zone the availability zone, unique across regions
 * @param rack the rack, empty for an entry
 */
public record Location(String region, String zone, String rack) {
    /** Checks region and zone. */
    public Location {
        Identifiers.check("region", region);
        Identifiers.check("zone", zone);
    }

    /** Returns the given location. */
    public static Location of(String region, String zone, String rack) {
        return new Location(region, zone, rack);
    }

    /** Returns how far {@code other} is away. */
    public Distance distanceTo(Location other) {
        if (!region.equals(other.region)) {
            return Distance.OTHER_REGION;
        }
        return zone.equals(other.zone) ? Distance.SAME_ZONE : Distance.SAME_REGION;
    }
}
