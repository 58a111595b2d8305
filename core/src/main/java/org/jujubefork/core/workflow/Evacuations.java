package org.jujubefork.core.workflow;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The zones in which operators want no starts.
 *
 * @param zones the evacuated zones, each with the time since which this entry has known of the
 *     evacuation, in milliseconds of the monotonic clock
 * @param confirmedAt when the read was sent whose answer is this view, in milliseconds of the
 *     monotonic clock
 * @param maxAgeMillis the age from which this view no longer permits any start; {@link
 *     Long#MAX_VALUE} in deployments without evacuations
 */
public record Evacuations(PMap<String, Long> zones, long confirmedAt, long maxAgeMillis) {
    /** No zone is evacuated, in a deployment without evacuations. */
    public static final Evacuations NONE = new Evacuations(HashTreePMap.empty(), 0, Long.MAX_VALUE);

    /** Returns whether {@code zone} is evacuated. */
    public boolean covers(String zone) {
        return zones.containsKey(zone);
    }
}
