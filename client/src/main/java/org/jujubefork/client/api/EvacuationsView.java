package org.jujubefork.client.api;

import java.util.List;

/**
 * Response to {@code GET /v1/evacuations}, which an entry on the platform serves on its readiness
 * address.
 *
 * @param entry the responding entry
 * @param enabled whether the deployment has evacuations
 * @param leads whether the entry leads; only the leader knows workers, tasks and waiting steps
 * @param leader the address of the leader on which it serves other entries, empty if none is known
 * @param fresh whether the entry's view of the evacuations is recent enough to start tasks
 * @param zones the evacuated zones
 */
public record EvacuationsView(
        String entry,
        boolean enabled,
        boolean leads,
        String leader,
        boolean fresh,
        List<ZoneView> zones) {
    /**
     * An evacuated zone.
     *
     * @param zone the zone
     * @param evacuatedMillis since how long the entry has known of the evacuation
     * @param workers the number of its workers
     * @param running the number of its tasks that may run
     * @param waitingSteps the number of steps that wait for its workers
     */
    public record ZoneView(
            String zone, long evacuatedMillis, long workers, long running, long waitingSteps) {}

    /** Copies the list. */
    public EvacuationsView {
        zones = MessageChecks.copyOrEmpty(zones);
    }
}
