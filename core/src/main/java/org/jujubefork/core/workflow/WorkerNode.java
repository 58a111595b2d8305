package org.jujubefork.core.workflow;

import java.util.List;
import org.jujubefork.core.model.Resources;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * A worker as the leading entry knows it.
 *
 * @param listing its newest entry in the list of workers
 * @param listed whether the list still has it
 * @param contact what the leader's own calls have shown
 * @param charges everything that runs or may run there, by task
 * @param health how its runs have ended
 */
public record WorkerNode(
        Listing listing,
        boolean listed,
        Contact contact,
        PMap<TaskKey, Charge> charges,
        Health health) {
    /**
     * An entry of the list of workers.
     *
     * @param id names the worker
     * @param service the service whose tasks it runs
     * @param address its host and port
     * @param zone its availability zone
     * @param draining whether it leaves
     * @param capacity its capacity
     * @param labels its kind and rack
     * @param rack the rack among the labels, empty if there is none
     */
    public record Listing(
            String id,
            String service,
            String address,
            String zone,
            boolean draining,
            Resources capacity,
            List<String> labels,
            String rack) {
        /** Copies the labels. */
        public Listing {
            labels = List.copyOf(labels);
        }
    }

    /**
     * What the leader's calls have shown. Times are of the leader's monotonic clock.
     *
     * @param incarnation the start of the incarnation in Unix milliseconds, 0 before the first
     *     answer
     * @param reached whether it has answered in this term
     * @param clockOffset the worker's clock minus the leader's, in milliseconds
     * @param lastContactAt when it last answered
     * @param runsUntil when everything there has ended if no call reaches it any more
     * @param lastRenewalAnswered whether the last call that renews the lease was answered
     * @param renewalInFlight whether a call that renews the lease is under way
     * @param renewalSentAt when that call was last sent
     * @param processedSequence the highest number of an end that was taken in
     * @param storedSequence the highest number of an end that is stored
     */
    public record Contact(
            long incarnation,
            boolean reached,
            long clockOffset,
            long lastContactAt,
            long runsUntil,
            boolean lastRenewalAnswered,
            boolean renewalInFlight,
            long renewalSentAt,
            long processedSequence,
            long storedSequence) {
        /** Nothing is known; anything may run there until {@code runsUntil}. */
        public static Contact unknown(long runsUntil) {
            return new Contact(0, false, 0, -1, runsUntil, false, false, -1, 0, 0);
        }

        /** Returns this with a lease call sent at {@code at}. */
        public Contact withRenewalSent(long at, long newRunsUntil) {
            Builder next = new Builder(this);
            next.runsUntil = Math.max(runsUntil, newRunsUntil);
            next.renewalInFlight = true;
            next.renewalSentAt = at;
            return next.build();
        }

        /** Returns this after an order that can keep something running. */
        public Contact withCommandSent(long newRunsUntil) {
            Builder next = new Builder(this);
            next.runsUntil = Math.max(runsUntil, newRunsUntil);
            return next.build();
        }

        /** Returns this after a lease call without an answer. */
        public Contact withRenewalFailed() {
            Builder next = new Builder(this);
            next.lastRenewalAnswered = false;
            next.renewalInFlight = false;
            return next.build();
        }

        /** Returns this after an answer. */
        public Contact withRenewalAnswered(
                long newIncarnation, long offset, long at, long newProcessedSequence) {
            Builder next = new Builder(this);
            next.incarnation = newIncarnation;
            next.reached = true;
            next.clockOffset = offset;
            next.lastContactAt = at;
            next.lastRenewalAnswered = true;
            next.renewalInFlight = false;
            next.processedSequence = newProcessedSequence;
            return next.build();
        }

        /** Returns this with nothing running there any more. */
        public Contact withNoRuns() {
            Builder next = new Builder(this);
            next.runsUntil = 0;
            return next.build();
        }

        /** Returns this for a new incarnation, which has listed no end. */
        public Contact withNewIncarnation() {
            Builder next = new Builder(this);
            next.incarnation = 0;
            next.processedSequence = 0;
            next.storedSequence = 0;
            return next.build();
        }

        /** Returns this with ends stored up to {@code sequence}. */
        public Contact withStoredSequence(long sequence) {
            Builder next = new Builder(this);
            next.storedSequence = Math.max(storedSequence, sequence);
            return next.build();
        }

        /** Holds the components of a copy while they are changed. */
        private static final class Builder {
            private long incarnation;
            private boolean reached;
            private long clockOffset;
            private long lastContactAt;
            private long runsUntil;
            private boolean lastRenewalAnswered;
            private boolean renewalInFlight;
            private long renewalSentAt;
            private long processedSequence;
            private long storedSequence;

            Builder(Contact from) {
                this.incarnation = from.incarnation();
                this.reached = from.reached();
                this.clockOffset = from.clockOffset();
                this.lastContactAt = from.lastContactAt();
                this.runsUntil = from.runsUntil();
                this.lastRenewalAnswered = from.lastRenewalAnswered();
                this.renewalInFlight = from.renewalInFlight();
                this.renewalSentAt = from.renewalSentAt();
                this.processedSequence = from.processedSequence();
                this.storedSequence = from.storedSequence();
            }

            Contact build() {
                return new Contact(
                        incarnation,
                        reached,
                        clockOffset,
                        lastContactAt,
                        runsUntil,
                        lastRenewalAnswered,
                        renewalInFlight,
                        renewalSentAt,
                        processedSequence,
                        storedSequence);
            }
        }
    }

    /**
     * Capacity that a run takes.
     *
     * @param runNumber the number of the run
     * @param size what it takes
     * @param team whose limit it counts against; empty for none
     * @param confirmedAt when the worker last confirmed the start or the stop, -1 before
     * @param stopping whether a stop was ordered
     * @param sentAt when the newest order was sent
     */
    public record Charge(
            long runNumber,
            Resources size,
            String team,
            long confirmedAt,
            boolean stopping,
            long sentAt) {
        /** Returns this confirmed at {@code at}. */
        public Charge confirmed(long at) {
            return new Charge(runNumber, size, team, at, stopping, sentAt);
        }

        /** Returns this with a stop sent at {@code at}. */
        public Charge stoppingAt(long at) {
            return new Charge(runNumber, size, team, -1, true, at);
        }

        /** Returns this with a start sent at {@code at}. */
        public Charge startedAt(long at) {
            return new Charge(runNumber, size, team, -1, false, at);
        }
    }

    /**
     * How runs on a worker have ended.
     *
     * @param consecutiveFailures failures since the last success
     * @param quarantinedUntil no new work before this time
     */
    public record Health(int consecutiveFailures, long quarantinedUntil) {
        /** No run has ended. */
        public static final Health NEW = new Health(0, 0);
    }

    /** Returns a worker that the leader has not talked to. */
    public static WorkerNode of(Listing listing, long runsUntil) {
        return new WorkerNode(
                listing, true, Contact.unknown(runsUntil), HashTreePMap.empty(), Health.NEW);
    }

    /** Returns its identifier. */
    public String id() {
        return listing.id();
    }

    /** Returns what is left of its capacity. */
    public Resources freeCapacity() {
        Resources used = Resources.ZERO;
        for (Charge charge : charges.values()) {
            used = used.plus(charge.size());
        }
        return listing.capacity().minus(used);
    }

    /** Returns whether it may get new work at {@code now}. */
    public boolean isUsable(long now) {
        return listed
                && !listing.draining()
                && contact.reached()
                && now - contact.lastContactAt() < WorkflowLimits.WORKER_CONTACT_TIMEOUT_MILLIS
                && health.quarantinedUntil() <= now;
    }

    /** Returns whether it is silent and everything there has ended. */
    public boolean isUnreachableAndIdle(long now) {
        return contact.runsUntil() < now
                && now - contact.lastContactAt() > WorkflowLimits.WORKER_CONTACT_TIMEOUT_MILLIS;
    }

    /** Returns this with another listing. */
    public WorkerNode withListing(Listing other, boolean stillListed) {
        return new WorkerNode(other, stillListed, contact, charges, health);
    }

    /** Returns this with another contact. */
    public WorkerNode with(Contact other) {
        return new WorkerNode(listing, listed, other, charges, health);
    }

    /** Returns this with another health. */
    public WorkerNode with(Health other) {
        return new WorkerNode(listing, listed, contact, charges, other);
    }

    /** Returns this with {@code charge} for {@code task}. */
    public WorkerNode charge(TaskKey task, Charge charge) {
        return new WorkerNode(listing, listed, contact, charges.plus(task, charge), health);
    }

    /** Returns this without a charge for {@code task}. */
    public WorkerNode release(TaskKey task) {
        return new WorkerNode(listing, listed, contact, charges.minus(task), health);
    }
}
