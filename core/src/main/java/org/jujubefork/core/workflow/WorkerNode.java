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
     * @param room its capacity
     * @param labels its kind and rack
     * @param rack the rack among the labels, empty if there is none
     */
    public record Listing(
            String id,
            String service,
            String address,
            String zone,
            boolean draining,
            Resources room,
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
     * @param born the start of the incarnation in Unix milliseconds, 0 before the first answer
     * @param reached whether it has answered in this term
     * @param clockOffset the worker's clock minus the leader's, in milliseconds
     * @param answeredAt when it last answered
     * @param runsUntil when everything there has ended if no call reaches it any more
     * @param answeredLast whether the last call that renews the lease was answered
     * @param holding whether a call that renews the lease is under way
     * @param heldAt when that call was last sent
     * @param seen the highest number of an end that was taken in
     * @param noted the highest number of an end that is stored
     */
    public record Contact(
            long born,
            boolean reached,
            long clockOffset,
            long answeredAt,
            long runsUntil,
            boolean answeredLast,
            boolean holding,
            long heldAt,
            long seen,
            long noted) {
        /** Nothing is known; anything may run there until {@code runsUntil}. */
        public static Contact unknown(long runsUntil) {
            return new Contact(0, false, 0, -1, runsUntil, false, false, -1, 0, 0);
        }

        /** Returns this with a lease call sent at {@code at}. */
        public Contact holding(long at, long newRunsUntil) {
            Builder next = new Builder(this);
            next.runsUntil = Math.max(runsUntil, newRunsUntil);
            next.holding = true;
            next.heldAt = at;
            return next.build();
        }

        /** Returns this after an order that can keep something running. */
        public Contact ordered(long newRunsUntil) {
            Builder next = new Builder(this);
            next.runsUntil = Math.max(runsUntil, newRunsUntil);
            return next.build();
        }

        /** Returns this after a lease call without an answer. */
        public Contact unanswered() {
            Builder next = new Builder(this);
            next.answeredLast = false;
            next.holding = false;
            return next.build();
        }

        /** Returns this after an answer. */
        public Contact answered(long newBorn, long offset, long at, long newSeen) {
            Builder next = new Builder(this);
            next.born = newBorn;
            next.reached = true;
            next.clockOffset = offset;
            next.answeredAt = at;
            next.answeredLast = true;
            next.holding = false;
            next.seen = newSeen;
            return next.build();
        }

        /** Returns this with nothing running there any more. */
        public Contact ended() {
            Builder next = new Builder(this);
            next.runsUntil = 0;
            return next.build();
        }

        /** Returns this for a new incarnation, which has listed no end. */
        public Contact reborn() {
            Builder next = new Builder(this);
            next.born = 0;
            next.seen = 0;
            next.noted = 0;
            return next.build();
        }

        /** Returns this with ends stored up to {@code newNoted}. */
        public Contact noted(long newNoted) {
            Builder next = new Builder(this);
            next.noted = Math.max(noted, newNoted);
            return next.build();
        }

        /** Holds the components of a copy while they are changed. */
        private static final class Builder {
            private long born;
            private boolean reached;
            private long clockOffset;
            private long answeredAt;
            private long runsUntil;
            private boolean answeredLast;
            private boolean holding;
            private long heldAt;
            private long seen;
            private long noted;

            Builder(Contact from) {
                this.born = from.born();
                this.reached = from.reached();
                this.clockOffset = from.clockOffset();
                this.answeredAt = from.answeredAt();
                this.runsUntil = from.runsUntil();
                this.answeredLast = from.answeredLast();
                this.holding = from.holding();
                this.heldAt = from.heldAt();
                this.seen = from.seen();
                this.noted = from.noted();
            }

            Contact build() {
                return new Contact(
                        born,
                        reached,
                        clockOffset,
                        answeredAt,
                        runsUntil,
                        answeredLast,
                        holding,
                        heldAt,
                        seen,
                        noted);
            }
        }
    }

    /**
     * Capacity that a run takes.
     *
     * @param run the number of the run
     * @param size what it takes
     * @param team whose limit it counts against; empty for none
     * @param confirmedAt when the worker last confirmed the start or the stop, -1 before
     * @param stopping whether a stop was ordered
     * @param sentAt when the newest order was sent
     */
    public record Charge(
            long run,
            Resources size,
            String team,
            long confirmedAt,
            boolean stopping,
            long sentAt) {
        /** Returns this confirmed at {@code at}. */
        public Charge confirmed(long at) {
            return new Charge(run, size, team, at, stopping, sentAt);
        }

        /** Returns this with a stop sent at {@code at}. */
        public Charge stoppingAt(long at) {
            return new Charge(run, size, team, -1, true, at);
        }

        /** Returns this with a start sent at {@code at}. */
        public Charge startedAt(long at) {
            return new Charge(run, size, team, -1, false, at);
        }
    }

    /**
     * How runs on a worker have ended.
     *
     * @param failedInRow failures since the last success
     * @param avoidUntil no new work before this time
     */
    public record Health(int failedInRow, long avoidUntil) {
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
    public Resources free() {
        Resources used = Resources.ZERO;
        for (Charge charge : charges.values()) {
            used = used.plus(charge.size());
        }
        return listing.room().minus(used);
    }

    /** Returns whether it may get new work at {@code now}. */
    public boolean isUsable(long now) {
        return listed
                && !listing.draining()
                && contact.reached()
                && now - contact.answeredAt() < WorkflowLimits.WORKER_SILENCE_MILLIS
                && health.avoidUntil() <= now;
    }

    /** Returns whether it is silent and everything there has ended. */
    public boolean isAbandoned(long now) {
        return contact.runsUntil() < now
                && now - contact.answeredAt() > WorkflowLimits.WORKER_SILENCE_MILLIS;
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
