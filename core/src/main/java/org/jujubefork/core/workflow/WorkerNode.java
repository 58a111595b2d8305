package org.jujubefork.core.workflow;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * A worker as the leader knows it.
 *
 * @param listing its newest record in the worker list, which an earlier or a later incarnation than
 *     that of {@code contact} may have written; after a takeover, its record in the stored set of
 *     workers until the list is read
 * @param listed whether the worker list still contains it
 * @param contact what the leader knows from its calls to the worker
 * @param charges the allocated capacity by task, for all assigned tasks and all runs that may be
 *     active on the worker
 * @param health the recent failures of its runs, and its quarantine
 */
public record WorkerNode(
        Listing listing,
        boolean listed,
        WorkerContact contact,
        PMap<TaskKey, Charge> charges,
        Health health) {
    /**
     * A record of the worker list.
     *
     * @param id the identifier of the worker
     * @param service the service whose tasks it runs
     * @param address its host and port
     * @param zone its availability zone
     * @param draining whether it is draining and gets no new tasks
     * @param capacity its total capacity
     * @param labels its labels, which include its kind and rack
     * @param rack the rack that the labels name, empty if they name none
     * @param born the start of the process that wrote the record, in Unix milliseconds; 0 if the
     *     record does not tell
     * @param coldLeftMillis how long the worker will still be slow after its start, in
     *     milliseconds; 0 for a warm worker
     */
    public record Listing(
            String id,
            String service,
            String address,
            String zone,
            boolean draining,
            Resources capacity,
            List<String> labels,
            String rack,
            long born,
            long coldLeftMillis) {
        /** Copies the labels. */
        public Listing {
            labels = List.copyOf(labels);
        }

        /** Creates the record of a warm worker. */
        public Listing(
                String id,
                String service,
                String address,
                String zone,
                boolean draining,
                Resources capacity,
                List<String> labels,
                String rack,
                long born) {
            this(id, service, address, zone, draining, capacity, labels, rack, born, 0);
        }

        /**
         * Returns a copy that names {@code newBorn} as its incarnation. In the stored set of
         * workers the other components can be of another incarnation than the one named, so only
         * records of the worker list tell what an incarnation is like.
         */
        public Listing withBorn(long newBorn) {
            return new Listing(
                    id,
                    service,
                    address,
                    zone,
                    draining,
                    capacity,
                    labels,
                    rack,
                    newBorn,
                    coldLeftMillis);
        }
    }

    /**
     * The capacity that a run occupies on a worker.
     *
     * @param runNumber the number of the run
     * @param size the charged capacity
     * @param team the team whose limit the capacity counts against, "" for none; not present if the
     *     job of the run is not known, so that the run may belong to any team
     * @param confirmedAt when the worker confirmed the newest command, -1 if it has not confirmed
     *     that command
     * @param stopping whether a stop command was sent
     * @param sentAt when the newest command was sent, -1 if none was sent
     * @param fullSpeed whether the worker has reported the run at full speed; recorded only for
     *     tasks of services that can be moved
     */
    public record Charge(
            long runNumber,
            Resources size,
            Optional<String> team,
            long confirmedAt,
            boolean stopping,
            long sentAt,
            boolean fullSpeed) {
        /** Creates the charge of a run that was not reported at full speed. */
        public Charge(
                long runNumber,
                Resources size,
                Optional<String> team,
                long confirmedAt,
                boolean stopping,
                long sentAt) {
            this(runNumber, size, team, confirmedAt, stopping, sentAt, false);
        }

        /** Returns a copy whose newest command was confirmed at {@code at}. */
        public Charge withConfirmation(long at) {
            return new Charge(runNumber, size, team, at, stopping, sentAt, fullSpeed);
        }

        /** Returns a copy whose run was reported at full speed. */
        Charge withFullSpeed() {
            return new Charge(runNumber, size, team, confirmedAt, stopping, sentAt, true);
        }

        /** Returns a copy with a stop command sent at {@code at}. */
        public Charge withStopSent(long at) {
            return new Charge(runNumber, size, team, -1, true, at);
        }

        /** Returns a copy with a start command sent at {@code at}. */
        public Charge withStartSent(long at) {
            return new Charge(runNumber, size, team, -1, false, at);
        }
    }

    /**
     * The recent failures of runs on a worker, and its quarantine.
     *
     * @param consecutiveFailures the number of failed runs since the last successful one
     * @param quarantinedUntil the worker gets no new tasks before this time
     */
    public record Health(int consecutiveFailures, long quarantinedUntil) {
        /** Health of a worker on which no run has ended yet. */
        public static final Health NEW = new Health(0, 0);
    }

    /** Returns a listed worker that no leader has called yet. */
    public static WorkerNode listed(Listing listing) {
        return of(listing, true, WorkerContact.unknown(Incarnation.FIRST, 0));
    }

    /**
     * Returns a worker that earlier leaders may have called. Runs may be active there until {@code
     * runsUntil}.
     */
    static WorkerNode recorded(Listing listing, Incarnation incarnation, long runsUntil) {
        return of(listing, false, WorkerContact.unknown(incarnation, runsUntil));
    }

    private static WorkerNode of(Listing listing, boolean listed, WorkerContact contact) {
        return new WorkerNode(listing, listed, contact, HashTreePMap.empty(), Health.NEW);
    }

    /** Returns its identifier. */
    public String id() {
        return listing.id();
    }

    /** Returns its capacity minus all charges; components may be negative. */
    public Resources freeCapacity() {
        Resources used = Resources.ZERO;
        for (Charge charge : charges.values()) {
            used = used.plus(charge.size());
        }
        return listing.capacity().minus(used);
    }

    /**
     * Returns an upper bound of the capacity that runs of unknown jobs may occupy at {@code now}.
     * Until the worker has answered a new leader or its leases have expired, any job may have runs
     * on it.
     */
    public Resources maxUnknownUsage(long now) {
        boolean areRunsUnknown = !contact.areRunsKnown() && contact.runsUntil() >= now;
        Resources knownUsage = Resources.ZERO;
        for (Charge charge : charges.values()) {
            if (charge.team().isPresent()) {
                knownUsage = knownUsage.plus(charge.size());
            } else {
                areRunsUnknown = true;
            }
        }
        return areRunsUnknown
                ? listing.capacity().minus(knownUsage).max(Resources.ZERO)
                : Resources.ZERO;
    }

    /** Returns whether the worker may get new tasks at {@code now}. */
    public boolean isUsable(long now) {
        return isListingCurrent()
                && !listing.draining()
                && contact.isIncarnationConfirmed()
                && now - contact.lastContactAt() < WorkflowLimits.WORKER_CONTACT_TIMEOUT_MILLIS
                && health.quarantinedUntil() <= now;
    }

    /**
     * Returns whether the worker list contains the worker, with a record that the incarnation has
     * written that answered last. A restarted worker can have another service, other labels and
     * another capacity; the record and the answers arrive in either order.
     */
    boolean isListingCurrent() {
        return listed && listing.born() == contact.born();
    }

    /** Returns whether the charges exceed the capacity, as they can after a restart. */
    boolean isOverCapacity() {
        return !Resources.ZERO.fitsIn(freeCapacity());
    }

    /** Returns whether the worker has not answered its last calls and for some time before. */
    public boolean isSilent(long now) {
        return !contact.lastRenewalAnswered()
                && now - contact.lastContactAt() >= WorkflowLimits.SILENT_WORKER_MILLIS;
    }

    /** Returns whether the worker is unreachable and all of its runs have ended by {@code now}. */
    public boolean isUnreachableAndIdle(long now) {
        return contact.runsUntil() < now
                && now - contact.lastContactAt() > WorkflowLimits.WORKER_CONTACT_TIMEOUT_MILLIS;
    }

    /**
     * Returns a copy with {@code other} as the listing; {@code stillListed} is whether the worker
     * list still contains the worker.
     */
    public WorkerNode withListing(Listing other, boolean stillListed) {
        return new WorkerNode(other, stillListed, contact, charges, health);
    }

    /**
     * Returns whether {@code newer}, which replaces the listing, was written by an incarnation that
     * has not answered yet.
     */
    boolean isRestartedIn(Listing newer) {
        return newer.born() != 0
                && newer.born() != listing.born()
                && contact.born() != 0
                && newer.born() != contact.born();
    }

    /** Returns a copy with {@code other} as the contact. */
    public WorkerNode with(WorkerContact other) {
        return new WorkerNode(listing, listed, other, charges, health);
    }

    /** Returns a copy with {@code other} as the health. */
    public WorkerNode with(Health other) {
        return new WorkerNode(listing, listed, contact, charges, other);
    }

    /** Returns a copy in which {@code charge} is the charge of {@code task}. */
    public WorkerNode withCharge(TaskKey task, Charge charge) {
        return new WorkerNode(listing, listed, contact, charges.plus(task, charge), health);
    }

    /** Returns a copy in which {@code task} has no charge. */
    public WorkerNode withoutCharge(TaskKey task) {
        return new WorkerNode(listing, listed, contact, charges.minus(task), health);
    }
}
