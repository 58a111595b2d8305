package org.jujubefork.core.workflow;

import java.util.Optional;

/**
 * Who leads, as this entry knows it. Times are of its monotonic clock in milliseconds.
 *
 * @param leads whether this entry leads
 * @param known the newest record of the store, if one was read
 * @param read whether the store has been read at all
 * @param confirmedAt the latest time at which the store showed that the record is the newest
 * @param aliveAt when the leader last gave a sign of life over its connection
 * @param refusedAt when the connection was last reset or refused, -1 if it was not
 * @param withoutStoreSince since when the leader says that it has no contact with the store, -1 if
 *     it has
 * @param claiming whether an attempt to lead is under way
 * @param claimAfter no attempt to lead before this time
 * @param resigned whether this entry is stopping
 * @param confirmAfter answers to questions that were sent before this time confirm nothing
 */
public record Leadership(
        boolean leads,
        Optional<LeaderRecord> known,
        boolean read,
        long confirmedAt,
        long aliveAt,
        long refusedAt,
        long withoutStoreSince,
        boolean claiming,
        long claimAfter,
        boolean resigned,
        long confirmAfter) {
    /** Nothing is known. */
    public static final Leadership NONE =
            new Leadership(false, Optional.empty(), false, -1, -1, -1, -1, false, 0, false, -1);

    /** Returns this after the store has shown {@code leader} for a question sent at {@code at}. */
    public Leadership confirmed(Optional<LeaderRecord> leader, long at) {
        Builder next = new Builder(this);
        next.known = leader;
        next.read = true;
        next.confirmedAt = at < confirmAfter ? confirmedAt : Math.max(confirmedAt, at);
        return next.build();
    }

    /**
     * Returns this with the confirmation forgotten; only a question sent from {@code at} on counts.
     */
    public Leadership unconfirmed(long at) {
        Builder next = new Builder(this);
        next.confirmedAt = Long.MIN_VALUE / 2;
        next.confirmAfter = at;
        return next.build();
    }

    /** Returns this following {@code leader} since {@code at}. */
    public Leadership following(LeaderRecord leader, long at) {
        Builder next = new Builder(this);
        next.leads = false;
        next.known = Optional.of(leader);
        next.read = true;
        next.aliveAt = at;
        next.refusedAt = -1;
        next.withoutStoreSince = -1;
        return next.build();
    }

    /** Returns this leading with {@code record} since {@code at}. */
    public Leadership leading(LeaderRecord record, long at) {
        Builder next = new Builder(this);
        next.leads = true;
        next.known = Optional.of(record);
        next.read = true;
        next.confirmedAt = Math.max(confirmedAt, at);
        next.aliveAt = at;
        next.refusedAt = -1;
        next.withoutStoreSince = -1;
        next.claiming = false;
        return next.build();
    }

    /** Returns this with a sign of life. */
    public Leadership alive(long at, boolean withStore) {
        long since = withStore ? -1 : withoutStoreSince >= 0 ? withoutStoreSince : at;
        Builder next = new Builder(this);
        next.aliveAt = at;
        next.refusedAt = -1;
        next.withoutStoreSince = since;
        return next.build();
    }

    /** Returns this with the connection refused. */
    public Leadership refused(long at) {
        Builder next = new Builder(this);
        next.refusedAt = at;
        return next.build();
    }

    /** Returns this with an attempt under way, or not, and the next one not before a time. */
    public Leadership claiming(boolean underWay, long notBefore) {
        Builder next = new Builder(this);
        next.claiming = underWay;
        next.claimAfter = notBefore;
        return next.build();
    }

    /** Returns this not leading any more. */
    public Leadership deposed() {
        Builder next = new Builder(this);
        next.leads = false;
        return next.build();
    }

    /** Returns this stopping for good. */
    public Leadership resign() {
        Builder next = new Builder(this);
        next.resigned = true;
        return next.build();
    }

    /** Holds the components of a copy while they are changed. */
    private static final class Builder {
        private boolean leads;
        private Optional<LeaderRecord> known;
        private boolean read;
        private long confirmedAt;
        private long aliveAt;
        private long refusedAt;
        private long withoutStoreSince;
        private boolean claiming;
        private long claimAfter;
        private boolean resigned;
        private long confirmAfter;

        Builder(Leadership from) {
            this.leads = from.leads();
            this.known = from.known();
            this.read = from.read();
            this.confirmedAt = from.confirmedAt();
            this.aliveAt = from.aliveAt();
            this.refusedAt = from.refusedAt();
            this.withoutStoreSince = from.withoutStoreSince();
            this.claiming = from.claiming();
            this.claimAfter = from.claimAfter();
            this.resigned = from.resigned();
            this.confirmAfter = from.confirmAfter();
        }

        Leadership build() {
            return new Leadership(
                    leads,
                    known,
                    read,
                    confirmedAt,
                    aliveAt,
                    refusedAt,
                    withoutStoreSince,
                    claiming,
                    claimAfter,
                    resigned,
                    confirmAfter);
        }
    }
}
