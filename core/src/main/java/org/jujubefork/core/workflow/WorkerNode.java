package org.jujubefork.core.workflow;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * A worker as the leader knows it.
 *
 * @param listing its newest record in the worker list
 * @param listed whether the worker list still contains it
 * @param contact what the leader knows from its calls to the worker
 * @param charges the allocated capacity by task, for all assigned tasks and all runs that may be
 *     active on the worker
 * @param health the recent failures of its runs, and its quarantine
 */
public record WorkerNode(
        Listing listing,
        boolean listed,
        Contact contact,
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

        /** Returns a copy of a record that the incarnation {@code newBorn} has written. */
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
     * The leader's contact with a worker. Times are in milliseconds of the leader's monotonic
     * clock.
     *
     * @param incarnation the incarnation that answered last
     * @param reached whether the worker has answered in this term
     * @param areRunsKnown whether all runs that may be active on the worker are charged, because it
     *     has answered or because the previous leader has recorded its runs
     * @param areCompletionsKnown whether each run that an earlier leader may have started on the
     *     worker is charged, or its completion is processed. A worker may list only some of its
     *     completions, so this can be false after it has answered.
     * @param lastContactAt when the worker last answered, -1 if it has not answered yet
     * @param runsUntil the time at which all runs of the worker have ended if no further call
     *     reaches it
     * @param lastRenewalAnswered whether the last completed lease renewal was answered
     * @param renewalInFlight whether a lease renewal is in flight
     * @param renewalSentAt when the newest lease renewal was sent, -1 if none was sent
     * @param usedFence the highest fencing token that this leader has sent to the worker, 0 if none
     * @param confirmableSince only answers to renewals sent at or after this time confirm that the
     *     incarnation is the present one
     */
    public record Contact(
            Incarnation incarnation,
            boolean reached,
            boolean areRunsKnown,
            boolean areCompletionsKnown,
            long lastContactAt,
            long runsUntil,
            boolean lastRenewalAnswered,
            boolean renewalInFlight,
            long renewalSentAt,
            long usedFence,
            long confirmableSince) {
        /**
         * Returns the contact with a worker that was never called; runs may be active there until
         * {@code runsUntil}.
         */
        public static Contact unknown(Incarnation incarnation, long runsUntil) {
            return new Contact(
                    incarnation, false, false, false, -1, runsUntil, false, false, -1, 0, 0);
        }

        /** Returns the start of the incarnation that answered last in Unix milliseconds. */
        public long born() {
            return incarnation.born();
        }

        /** Returns whether all processed completions are stored. */
        public boolean areCompletionsStored() {
            return incarnation.storedSequence() >= incarnation.processedSequence();
        }

        /**
         * Returns whether the incarnation that answered last is known to be the present one: it has
         * answered the last renewal, and rejects orders for an earlier incarnation. Only then may
         * the worker get leases and tasks.
         */
        public boolean isIncarnationConfirmed() {
            return lastRenewalAnswered && incarnation.isFenced();
        }

        /**
         * Returns a copy in which all runs are charged that may be active or whose completions are
         * not processed.
         */
        public Contact withKnownRuns() {
            Builder next = new Builder(this);
            next.areRunsKnown = true;
            next.areCompletionsKnown = true;
            return next.build();
        }

        /** Returns a copy after a lease renewal with {@code fence} was sent at {@code at}. */
        public Contact withRenewalSent(long at, long newRunsUntil, long fence) {
            Builder next = new Builder(this);
            next.runsUntil = Math.max(runsUntil, newRunsUntil);
            next.renewalInFlight = true;
            next.renewalSentAt = at;
            next.usedFence = Math.max(usedFence, fence);
            return next.build();
        }

        /** Returns a copy in which runs may be active until {@code newRunsUntil} at least. */
        public Contact withRunsUntil(long newRunsUntil) {
            Builder next = new Builder(this);
            next.runsUntil = Math.max(runsUntil, newRunsUntil);
            return next.build();
        }

        /** Returns a copy after a lease renewal failed. */
        public Contact withRenewalFailed() {
            Builder next = new Builder(this);
            next.lastRenewalAnswered = false;
            next.renewalInFlight = false;
            return next.build();
        }

        /**
         * Returns a copy after {@code answering} has answered a lease renewal.
         *
         * @param allEndedListed whether the answer lists all completions that are not acknowledged
         */
        public Contact withRenewalAnswered(Incarnation answering, long at, boolean allEndedListed) {
            Builder next = new Builder(this);
            next.incarnation = answering;
            next.reached = true;
            next.areRunsKnown = true;
            // A completion before the end of the leases does not count any more.
            next.areCompletionsKnown = areCompletionsKnown || allEndedListed || runsUntil < at;
            next.lastContactAt = at;
            next.lastRenewalAnswered = renewalSentAt >= confirmableSince;
            next.renewalInFlight = false;
            return next.build();
        }

        /**
         * Returns a copy in which the incarnation is not known to be the present one, until a
         * renewal is answered that is sent at or after {@code at}.
         */
        public Contact withoutConfirmation(long at) {
            Builder next = new Builder(this);
            next.lastRenewalAnswered = false;
            next.confirmableSince = at;
            return next.build();
        }

        /** Returns a copy in which no run is active any more. */
        public Contact withNoRuns() {
            Builder next = new Builder(this);
            next.runsUntil = 0;
            return next.build();
        }

        /** Returns a copy with {@code other} as the incarnation. */
        public Contact with(Incarnation other) {
            Builder next = new Builder(this);
            next.incarnation = other;
            return next.build();
        }

        /** Mutable copy of the components, used to build a changed instance. */
        private static final class Builder {
            private Incarnation incarnation;
            private boolean reached;
            private boolean areRunsKnown;
            private boolean areCompletionsKnown;
            private long lastContactAt;
            private long runsUntil;
            private boolean lastRenewalAnswered;
            private boolean renewalInFlight;
            private long renewalSentAt;
            private long usedFence;
            private long confirmableSince;

            Builder(Contact from) {
                this.incarnation = from.incarnation();
                this.reached = from.reached();
                this.areRunsKnown = from.areRunsKnown();
                this.areCompletionsKnown = from.areCompletionsKnown();
                this.lastContactAt = from.lastContactAt();
                this.runsUntil = from.runsUntil();
                this.lastRenewalAnswered = from.lastRenewalAnswered();
                this.renewalInFlight = from.renewalInFlight();
                this.renewalSentAt = from.renewalSentAt();
                this.usedFence = from.usedFence();
                this.confirmableSince = from.confirmableSince();
            }

            Contact build() {
                return new Contact(
                        incarnation,
                        reached,
                        areRunsKnown,
                        areCompletionsKnown,
                        lastContactAt,
                        runsUntil,
                        lastRenewalAnswered,
                        renewalInFlight,
                        renewalSentAt,
                        usedFence,
                        confirmableSince);
            }
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
        return of(listing, true, Contact.unknown(Incarnation.FIRST, 0));
    }

    /**
     * Returns a worker that earlier leaders may have called. Runs may be active there until {@code
     * runsUntil}.
     */
    static WorkerNode recorded(Listing listing, Incarnation incarnation, long runsUntil) {
        return of(listing, false, Contact.unknown(incarnation, runsUntil));
    }

    private static WorkerNode of(Listing listing, boolean listed, Contact contact) {
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
        return listed
                && !listing.draining()
                && contact.isIncarnationConfirmed()
                && now - contact.lastContactAt() < WorkflowLimits.WORKER_CONTACT_TIMEOUT_MILLIS
                && health.quarantinedUntil() <= now;
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
    public WorkerNode with(Contact other) {
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
