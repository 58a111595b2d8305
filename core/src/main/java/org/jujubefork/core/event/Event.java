package org.jujubefork.core.event;

/**
 * An observation of an entry. Events are the only input of the reducer. They also carry the current
 * time and random numbers, so that the results of the reducer can be reproduced.
 */
public sealed interface Event
        permits Tick,
                MembershipEvent,
                FleetEvent,
                TaskEvent,
                RequestEvent,
                ClaimEvent,
                JobEvent,
                StoreEvent,
                LimitEvent,
                ConfigurationLoaded,
                DrainRequested {
    /** Returns when the event was observed, in milliseconds of the entry's monotonic clock. */
    long atMillis();
}
