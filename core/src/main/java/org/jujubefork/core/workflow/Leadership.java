package org.jujubefork.core.workflow;

import java.util.Optional;

/**
 * Which entry leads, as far as this entry knows. Times are in milliseconds of its monotonic clock.
 *
 * @param leads whether this entry leads
 * @param leaderRecord the newest leader record that was read from the store, if any
 * @param storeFirstReadAt when the store was first read, -1 if it was not read yet
 * @param confirmedAt the latest time at which {@code leaderRecord} was known to be the newest in
 *     the store
 * @param leaderSeenAt when the leader last sent a heartbeat
 * @param connectionRefusedAt when the connection to the leader was first reset or refused since the
 *     last heartbeat, -1 if neither has happened
 * @param leaderResignedAt when the leader first announced that it gives up leadership, -1 if it has
 *     not; its later heartbeats don't revoke that
 * @param leaderWithoutStoreSince since when the leader has reported that it cannot reach the store,
 *     -1 if it can
 * @param claimInFlight whether an attempt to become the leader is in flight
 * @param nextClaimAt the earliest time of the next attempt to become the leader
 * @param resigning whether this entry is shutting down and must not lead again
 * @param successionPosition the position of this entry among those that replace the leader, -1 if
 *     the leader has not announced it
 * @param claimSentAt when the newest attempt to become the leader was sent
 * @param confirmableSince only answers to store reads sent at or after this time confirm the leader
 */
public record Leadership(
        boolean leads,
        Optional<LeaderRecord> leaderRecord,
        long storeFirstReadAt,
        long confirmedAt,
        long leaderSeenAt,
        long connectionRefusedAt,
        long leaderResignedAt,
        long leaderWithoutStoreSince,
        boolean claimInFlight,
        long nextClaimAt,
        boolean resigning,
        int successionPosition,
        long claimSentAt,
        long confirmableSince) {
    /** Leadership as known to an entry that has not read the store yet. */
    public static final Leadership NONE =
            new Leadership(
                    false, Optional.empty(), -1, -1, -1, -1, -1, -1, false, 0, false, -1, 0, -1);

    /**
     * Returns a copy after the store returned {@code leader} for a read that was sent at {@code
     * at}.
     */
    public Leadership confirmed(Optional<LeaderRecord> leader, long at) {
        Builder next = new Builder(this);
        next.leaderRecord = leader;
        next.storeFirstReadAt = storeFirstReadAt < 0 ? at : storeFirstReadAt;
        next.confirmedAt = at < confirmableSince ? confirmedAt : Math.max(confirmedAt, at);
        return next.build();
    }

    /**
     * Returns a copy without a confirmation. Only store reads that are sent at or after {@code at}
     * confirm the leader again.
     */
    public Leadership withoutConfirmation(long at) {
        Builder next = new Builder(this);
        next.confirmedAt = Long.MIN_VALUE / 2;
        next.confirmableSince = at;
        return next.build();
    }

    /** Returns a copy in which this entry has followed {@code leader} since {@code at}. */
    public Leadership following(LeaderRecord leader, long at) {
        Builder next = new Builder(this);
        next.leads = false;
        next.leaderRecord = Optional.of(leader);
        next.storeFirstReadAt = storeFirstReadAt < 0 ? at : storeFirstReadAt;
        next.leaderSeenAt = at;
        next.connectionRefusedAt = -1;
        next.leaderResignedAt = -1;
        next.leaderWithoutStoreSince = -1;
        next.successionPosition = -1;
        return next.build();
    }

    /**
     * Returns a copy in which this entry has led since {@code at}; {@code record} is its leader
     * record.
     */
    public Leadership leading(LeaderRecord record, long at) {
        Builder next = new Builder(this);
        next.leads = true;
        next.leaderRecord = Optional.of(record);
        next.storeFirstReadAt = storeFirstReadAt < 0 ? at : storeFirstReadAt;
        next.confirmedAt = Math.max(confirmedAt, at);
        next.leaderSeenAt = at;
        next.connectionRefusedAt = -1;
        next.leaderResignedAt = -1;
        next.leaderWithoutStoreSince = -1;
        next.successionPosition = -1;
        next.claimInFlight = false;
        return next.build();
    }

    /**
     * Returns a copy after a heartbeat of the leader arrived at {@code at}; {@code withStore} is
     * whether the leader can reach the store.
     */
    public Leadership withHeartbeat(long at, boolean withStore) {
        long since = withStore ? -1 : leaderWithoutStoreSince >= 0 ? leaderWithoutStoreSince : at;
        Builder next = new Builder(this);
        next.leaderSeenAt = at;
        next.connectionRefusedAt = -1;
        next.leaderWithoutStoreSince = since;
        return next.build();
    }

    /** Returns a copy in which the leader has announced {@code position}. */
    public Leadership withSuccessionPosition(int position) {
        Builder next = new Builder(this);
        next.successionPosition = position;
        return next.build();
    }

    /** Returns a copy after the connection to the leader was refused or reset at {@code at}. */
    public Leadership withConnectionRefused(long at) {
        Builder next = new Builder(this);
        next.connectionRefusedAt = connectionRefusedAt < 0 ? at : connectionRefusedAt;
        return next.build();
    }

    /** Returns a copy after the leader has announced at {@code at} that it gives up leadership. */
    public Leadership withLeaderResigned(long at) {
        Builder next = new Builder(this);
        next.leaderResignedAt = leaderResignedAt < 0 ? at : leaderResignedAt;
        return next.build();
    }

    /**
     * Returns a copy with {@code inFlight} as whether a claim is in flight, and {@code notBefore}
     * as the earliest time of the next claim.
     */
    public Leadership withClaim(boolean inFlight, long notBefore) {
        Builder next = new Builder(this);
        next.claimInFlight = inFlight;
        next.nextClaimAt = notBefore;
        return next.build();
    }

    /** Returns a copy after an attempt to become the leader was sent at {@code at}. */
    public Leadership withClaimSent(long at) {
        Builder next = new Builder(this);
        next.claimInFlight = true;
        next.nextClaimAt = 0;
        next.claimSentAt = at;
        return next.build();
    }

    /** Returns a copy in which this entry no longer leads. */
    public Leadership withLeadershipLost() {
        Builder next = new Builder(this);
        next.leads = false;
        return next.build();
    }

    /** Returns a copy in which this entry is shutting down. */
    public Leadership asResigning() {
        Builder next = new Builder(this);
        next.resigning = true;
        return next.build();
    }

    /** Mutable copy of the components, used to build a changed instance. */
    private static final class Builder {
        private boolean leads;
        private Optional<LeaderRecord> leaderRecord;
        private long storeFirstReadAt;
        private long confirmedAt;
        private long leaderSeenAt;
        private long connectionRefusedAt;
        private long leaderResignedAt;
        private long leaderWithoutStoreSince;
        private boolean claimInFlight;
        private long nextClaimAt;
        private boolean resigning;
        private int successionPosition;
        private long claimSentAt;
        private long confirmableSince;

        Builder(Leadership from) {
            this.leads = from.leads();
            this.leaderRecord = from.leaderRecord();
            this.storeFirstReadAt = from.storeFirstReadAt();
            this.confirmedAt = from.confirmedAt();
            this.leaderSeenAt = from.leaderSeenAt();
            this.connectionRefusedAt = from.connectionRefusedAt();
            this.leaderResignedAt = from.leaderResignedAt();
            this.leaderWithoutStoreSince = from.leaderWithoutStoreSince();
            this.claimInFlight = from.claimInFlight();
            this.nextClaimAt = from.nextClaimAt();
            this.resigning = from.resigning();
            this.successionPosition = from.successionPosition();
            this.claimSentAt = from.claimSentAt();
            this.confirmableSince = from.confirmableSince();
        }

        Leadership build() {
            return new Leadership(
                    leads,
                    leaderRecord,
                    storeFirstReadAt,
                    confirmedAt,
                    leaderSeenAt,
                    connectionRefusedAt,
                    leaderResignedAt,
                    leaderWithoutStoreSince,
                    claimInFlight,
                    nextClaimAt,
                    resigning,
                    successionPosition,
                    claimSentAt,
                    confirmableSince);
        }
    }
}
