package org.jujubefork.core.event;

/** Successful and failed contacts with the platform's store. */
public sealed interface StoreEvent extends Event {
    /**
     * The store answered a read of the keys that all entries share. This event is delivered after
     * the events with the values read, so that the configuration and the ledger in the state are at
     * least as new as the contact.
     *
     * @param atMillis when the answer arrived
     * @param sentAtMillis when the request was sent; the values read were current at some time
     *     after that
     */
    record StoreContacted(long atMillis, long sentAtMillis) implements StoreEvent {}

    /**
     * The store did not answer.
     *
     * @param atMillis when the call failed or timed out
     */
    record StoreFailed(long atMillis) implements StoreEvent {}
}
