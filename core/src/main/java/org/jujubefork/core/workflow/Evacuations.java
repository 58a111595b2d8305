package org.jujubefork.core.workflow;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The zones in which operators want no starts. Times are in milliseconds of the monotonic clock.
 *
 * @param zones the evacuated zones, each with the time since which this entry has known of the
 *     evacuation
 * @param unusableRevisions the revisions of the newest requests that cannot be read or name no
 *     zone, by zone
 * @param known whether any read has been answered, so that a zone without a request is known not to
 *     be evacuated
 * @param confirmedAt when the read was sent whose answer is this view
 * @param confirmableSince only answers to reads sent at or after this time confirm the view
 * @param maxAgeMillis the age above which this view permits no starts; {@link Long#MAX_VALUE} in
 *     deployments without evacuations
 * @param stale whether it was logged that this view is too old for starts
 */
public record Evacuations(
        PMap<String, Long> zones,
        PMap<String, Long> unusableRevisions,
        boolean known,
        long confirmedAt,
        long confirmableSince,
        long maxAgeMillis,
        boolean stale) {
    /** No zone is evacuated, in a deployment without evacuations. */
    public static final Evacuations NONE = unconfirmed(Long.MAX_VALUE);

    /** Time that a start command may take from the decision to its arrival at the worker. */
    public static final long START_DELIVERY_MILLIS = 1_000;

    private static Evacuations unconfirmed(long maxAgeMillis) {
        return new Evacuations(
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                false,
                Long.MIN_VALUE / 2,
                Long.MIN_VALUE / 2,
                maxAgeMillis,
                false);
    }

    /**
     * Returns the view of an entry that has not read the evacuations yet.
     *
     * @param evacuationMillis the time after which no start may arrive in an evacuated zone
     */
    public static Evacuations notRead(long evacuationMillis) {
        return unconfirmed(Math.max(0, evacuationMillis - START_DELIVERY_MILLIS));
    }

    /** Returns whether the deployment has evacuations. */
    public boolean enabled() {
        return maxAgeMillis != Long.MAX_VALUE;
    }

    /** Returns whether {@code zone} is evacuated. */
    public boolean covers(String zone) {
        return zones.containsKey(zone);
    }

    /** Returns whether the view is recent enough at {@code now} to start tasks. */
    public boolean isFresh(long now) {
        return !enabled() || now - confirmedAt <= maxAgeMillis;
    }

    /** Returns whether tasks may start on the workers of {@code zone} at {@code now}. */
    boolean allowsStarts(String zone, long now) {
        return !covers(zone) && isFresh(now);
    }

    /**
     * Returns a copy after a read that was sent at {@code sentAt} has returned {@code requests} at
     * {@code now}.
     *
     * <p>Reads can overlap, so an older view may arrive later. Every view adds the zones that it
     * shows, but removes only zones that were known before its read was sent.
     */
    Evacuations withRead(PMap<String, EvacuationRequest> requests, long sentAt, long now) {
        PMap<String, Long> nextZones = zones;
        for (String zone : zones.keySet()) {
            if (!requests.containsKey(zone) && sentAt > zones.get(zone)) {
                nextZones = nextZones.minus(zone);
            }
        }
        PMap<String, Long> nextUnusable = HashTreePMap.empty();
        for (String zone : requests.keySet()) {
            EvacuationRequest request = requests.get(zone);
            if (zone.isEmpty() || !request.readable()) {
                nextUnusable = nextUnusable.plus(zone, request.revision());
            }
            if (!nextZones.containsKey(zone) && isEvacuated(zone, request)) {
                nextZones = nextZones.plus(zone, now);
            }
        }
        return new Evacuations(
                nextZones,
                nextUnusable,
                true,
                sentAt < confirmableSince ? confirmedAt : Math.max(confirmedAt, sentAt),
                confirmableSince,
                maxAgeMillis,
                stale);
    }

    /**
     * Returns whether {@code request} evacuates a zone that was not evacuated. An unreadable one
     * does so only if it is not known that the zone was not evacuated before, because a missed
     * start costs less than a forbidden one.
     */
    private boolean isEvacuated(String zone, EvacuationRequest request) {
        return !zone.isEmpty() && (request.readable() || !known);
    }

    /**
     * Returns a copy that permits no starts until a read is answered that is sent at or after
     * {@code at}.
     */
    Evacuations withoutConfirmation(long at) {
        return enabled()
                ? new Evacuations(
                        zones,
                        unusableRevisions,
                        known,
                        Long.MIN_VALUE / 2,
                        at,
                        maxAgeMillis,
                        stale)
                : this;
    }

    /** Returns a copy with {@code other} as whether it was logged that the view is too old. */
    Evacuations withStale(boolean other) {
        return new Evacuations(
                zones,
                unusableRevisions,
                known,
                confirmedAt,
                confirmableSince,
                maxAgeMillis,
                other);
    }
}
