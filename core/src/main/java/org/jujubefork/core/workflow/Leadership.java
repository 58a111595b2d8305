package org.jujubefork.core.workflow;

import java.util.Optional;

/**
 * Who leads, as this entry knows it. Times are of its monotonic clock in milliseconds.
 *
 * @param leads whether this entry leads
 * @param leaderRecord the newest record of the store, if one was read
 * @param storeRead whether the store has been read at all
 * @param confirmedAt the latest time at which the store showed that the record is the newest
 * @param leaderSeenAt when the leader last gave a sign of life over its connection
 * @param connectionRefusedAt when the connection was last reset or refused, -1 if it was not
 * @param leaderWithoutStoreSince since when the leader says that it has no contact with the store,
 *     -1 if it has
 * @param claimInFlight whether an attempt to lead is under way
 * @param nextClaimAt no attempt to lead before this time
 * @param resigning whether this entry is stopping
 * @param confirmableSince answers to questions that were sent before this time confirm nothing
 */
public record Leadership(
        boolean leads,
        Optional<LeaderRecord> leaderRecord,
        boolean storeRead,
        long confirmedAt,
        long leaderSeenAt,
        long connectionRefusedAt,
        long leaderWithoutStoreSince,
        boolean claimInFlight,
        long nextClaimAt,
        boolean resigning,
        long confirmableSince) {
    /** Nothing is known. */
    public static final Leadership NONE =
            new Leadership(false, Optional.empty(), false, -1, -1, -1, -1, false, 0, false, -1);

    /** Returns this after the store has shown {@code leader} for a question sent at {@code at}. */
    public Leadership confirmed(Optional<LeaderRecord> leader, long at) {
        Builder next = new Builder(this);
        next.leaderRecord = leader;
        next.storeRead = true;
        next.confirmedAt = at < confirmableSince ? confirmedAt : Math.max(confirmedAt, at);
        return next.build();
    }

    /**
     * Returns this with the confirmation forgotten; only a question sent from {@code at} on counts.
     */
    public Leadership withoutConfirmation(long at) {
        Builder next = new Builder(this);
        next.confirmedAt = Long.MIN_VALUE / 2;
        next.confirmableSince = at;
        return next.build();
    }

    /** Returns this following {@code leader} since {@code at}. */
    public Leadership following(LeaderRecord leader, long at) {
        Builder next = new Builder(this);
        next.leads = false;
        next.leaderRecord = Optional.of(leader);
        next.storeRead = true;
        next.leaderSeenAt = at;
        next.connectionRefusedAt = -1;
        next.leaderWithoutStoreSince = -1;
        return next.build();
    }

    /** Returns this leading with {@code record} since {@code at}. */
    public Leadership leading(LeaderRecord record, long at) {
        Builder next = new Builder(this);
        next.leads = true;
        next.leaderRecord = Optional.of(record);
        next.storeRead = true;
        next.confirmedAt = Math.max(confirmedAt, at);
        next.leaderSeenAt = at;
        next.connectionRefusedAt = -1;
        next.leaderWithoutStoreSince = -1;
        next.claimInFlight = false;
        return next.build();
    }

    /** Returns this with a sign of life. */
    public Leadership withHeartbeat(long at, boolean withStore) {
        long since = withStore ? -1 : leaderWithoutStoreSince >= 0 ? leaderWithoutStoreSince : at;
        Builder next = new Builder(this);
        next.leaderSeenAt = at;
        next.connectionRefusedAt = -1;
        next.leaderWithoutStoreSince = since;
        return next.build();
    }

    /** Returns this with the connection refused. */
    public Leadership withConnectionRefused(long at) {
        Builder next = new Builder(this);
        next.connectionRefusedAt = at;
        return next.build();
    }

    /** Returns this with an attempt under way, or not, and the next one not before a time. */
    public Leadership withClaim(boolean inFlight, long notBefore) {
        Builder next = new Builder(this);
        next.claimInFlight = inFlight;
        next.nextClaimAt = notBefore;
        return next.build();
    }

    /** Returns this not leading any more. */
    public Leadership withLeadershipLost() {
        Builder next = new Builder(this);
        next.leads = false;
        return next.build();
    }

    /** Returns this stopping for good. */
    public Leadership asResigning() {
        Builder next = new Builder(this);
        next.resigning = true;
        return next.build();
    }

    /** Holds the components of a copy while they are changed. */
    private static final class Builder {
        private boolean leads;
        private Optional<LeaderRecord> leaderRecord;
        private boolean storeRead;
        private long confirmedAt;
        private long leaderSeenAt;
        private long connectionRefusedAt;
        private long leaderWithoutStoreSince;
        private boolean claimInFlight;
        private long nextClaimAt;
        private boolean resigning;
        private long confirmableSince;

        Builder(Leadership from) {
            this.leads = from.leads();
            this.leaderRecord = from.leaderRecord();
            this.storeRead = from.storeRead();
            this.confirmedAt = from.confirmedAt();
            this.leaderSeenAt = from.leaderSeenAt();
            this.connectionRefusedAt = from.connectionRefusedAt();
            this.leaderWithoutStoreSince = from.leaderWithoutStoreSince();
            this.claimInFlight = from.claimInFlight();
            this.nextClaimAt = from.nextClaimAt();
            this.resigning = from.resigning();
            this.confirmableSince = from.confirmableSince();
        }

        Leadership build() {
            return new Leadership(
                    leads,
                    leaderRecord,
                    storeRead,
                    confirmedAt,
                    leaderSeenAt,
                    connectionRefusedAt,
                    leaderWithoutStoreSince,
                    claimInFlight,
                    nextClaimAt,
                    resigning,
                    confirmableSince);
        }
    }
}
