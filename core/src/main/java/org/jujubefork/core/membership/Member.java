package org.jujubefork.core.membership;

/**
 * Another entry as this entry sees it.
 *
 * @param row the newest row received
 * @param lastHeartbeatMillis when the member itself sent its newest heartbeat, as far as known
 * @param lastAnsweredProbeMillis send time of the newest probe that the entry answered itself;
 *     {@link #NEVER} if none
 * @param probedVersion the configuration version in that answer
 */
public record Member(
        MemberRow row, long lastHeartbeatMillis, long lastAnsweredProbeMillis, long probedVersion) {
    /** Stands for a time that lies before all others. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    /** Returns a member of which {@code row} is the first news. */
    public static Member of(MemberRow row, long heartbeatMillis) {
        return new Member(row, heartbeatMillis, NEVER, 0);
    }

    /**
     * Returns this member with a newer row or heartbeat that was sent at {@code heartbeatMillis}.
     */
    public Member withUpdate(MemberRow newer, long heartbeatMillis) {
        boolean sameIncarnation = newer.id().equals(row.id());
        return new Member(
                sameIncarnation ? row.merge(newer) : newer,
                sameIncarnation ? Math.max(lastHeartbeatMillis, heartbeatMillis) : heartbeatMillis,
                sameIncarnation ? lastAnsweredProbeMillis : NEVER,
                sameIncarnation ? probedVersion : 0);
    }

    /** Returns this member after this entry was paused for {@code pauseMillis}. */
    Member afterPause(long pauseMillis) {
        return new Member(row, lastHeartbeatMillis + pauseMillis, NEVER, 0);
    }

    /** Returns this member with the answer to a probe that was sent at {@code sentAtMillis}. */
    public Member withProbeReply(long sentAtMillis, long version) {
        return sentAtMillis < lastAnsweredProbeMillis
                ? this
                : new Member(row, lastHeartbeatMillis, sentAtMillis, version);
    }

    /** Returns whether the member was heard from within {@code maxAgeMillis}. */
    public boolean hasHeartbeatWithin(long maxAgeMillis, long nowMillis) {
        return nowMillis - lastHeartbeatMillis <= maxAgeMillis;
    }
}
