package org.jujubefork.core.workflow;

/**
 * The CPU capacity of a service that is left for new work, in millicores. Work that has been
 * accepted but is not stored yet, or has no tickets yet, occupies no worker; without its claims the
 * same free capacity would be promised to every job that arrives in the meantime.
 *
 * @param free the capacity that the last placement pass has left free and not reserved
 * @param claimed the capacity that accepted work occupies as soon as it is stored and has its
 *     tickets
 */
public record UnclaimedRoom(long free, long claimed) {
    /** Returns a copy in which accepted work claims {@code millicores} more. */
    UnclaimedRoom withClaim(long millicores) {
        return new UnclaimedRoom(free, claimed + millicores);
    }

    /** Returns whether {@code millicores} are free that no accepted work claims. */
    boolean fits(long millicores) {
        return claimed + millicores <= free;
    }

    /** Returns whether accepted work claims more than is free. */
    boolean isExceeded() {
        return !fits(0);
    }
}
