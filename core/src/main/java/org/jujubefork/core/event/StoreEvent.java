package org.jujubefork.core.event;

/** Whether the platform's store can be reached. */
public sealed interface StoreEvent extends Event {
    /**
     * The store answered a read of the shared keys. It follows the events that carry what was read,
     * so that the configuration and the ledger in the state are at least as new as the contact.
     *
     * @param atMillis when the answer arrived
     * @param sentAtMillis when the request was sent; what the answer says was true at some time
     *     after it
     */
    record StoreContacted(long atMillis, long sentAtMillis) implements StoreEvent {}

    /**
     * The store did not answer.
     *
     * @param atMillis when that was found
     */
    record StoreFailed(long atMillis) implements StoreEvent {}
}
