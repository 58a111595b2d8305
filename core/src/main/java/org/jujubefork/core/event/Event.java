package org.jujubefork.core.event;

/** Something that an entry observed. The reducer learns of time and chance only through events. */
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
