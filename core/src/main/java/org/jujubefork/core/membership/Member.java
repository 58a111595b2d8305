package org.jujubefork.core.membership;

/**
 * The local view of another entry.
 *
 * @param row the newest row received
 * @param lastHeartbeatMillis when the member sent its newest known heartbeat, as an estimate on
 *     this entry's clock
 * @param lastAnsweredProbeMillis send time of the newest probe that the member answered; {@link
 *     #NEVER} if none
 * @param probedVersion the configuration version in the answer to that probe; 0 if no probe was
 *     answered
 */
public record Member(
        MemberRow row, long lastHeartbeatMillis, long lastAnsweredProbeMillis, long probedVersion) {
    /**
     * A time that is earlier than any clock reading; used as the time of an event that has not
     * happened.
     */
    public static final long NEVER = Long.MIN_VALUE / 2;

    /**
     * Returns the view of a member that was unknown before; {@code heartbeatMillis} is when the
     * member sent the heartbeat in {@code row}.
     */
    public static Member of(MemberRow row, long heartbeatMillis) {
        return new Member(row, heartbeatMillis, NEVER, 0);
    }

    /**
     * Returns this member with a newer row or heartbeat, which the member sent at {@code
     * heartbeatMillis}. The row of a newer incarnation replaces all that is known about the member.
     */
    public Member withUpdate(MemberRow newer, long heartbeatMillis) {
        boolean isSameIncarnation = newer.id().equals(row.id());
        return new Member(
                isSameIncarnation ? row.merge(newer) : newer,
                isSameIncarnation
                        ? Math.max(lastHeartbeatMillis, heartbeatMillis)
                        : heartbeatMillis,
                isSameIncarnation ? lastAnsweredProbeMillis : NEVER,
                isSameIncarnation ? probedVersion : 0);
    }

    /**
     * Returns this member after this entry was paused for {@code pauseMillis}: the pause does not
     * count as time without heartbeats, and probe answers are dropped.
     */
    Member afterPause(long pauseMillis) {
        return new Member(row, lastHeartbeatMillis + pauseMillis, NEVER, 0);
    }

    /**
     * Returns this member with the answer to a probe that was sent at {@code sentAtMillis}, unless
     * a later probe was answered before.
     */
    public Member withProbeReply(long sentAtMillis, long version) {
        return sentAtMillis < lastAnsweredProbeMillis
                ? this
                : new Member(row, lastHeartbeatMillis, sentAtMillis, version);
    }

    /** Returns whether the newest heartbeat was sent at most {@code maxAgeMillis} ago. */
    public boolean hasHeartbeatWithin(long maxAgeMillis, long nowMillis) {
        return nowMillis - lastHeartbeatMillis <= maxAgeMillis;
    }
}
