package org.jujubefork.standins.store;

/**
 * Settings of the store.
 *
 * @param port port of the loopback interface, 0 for a free one
 * @param writesPerSecond limit of puts, deletes, grants and keep-alives; 0 means none
 * @param readsPerSecond limit of gets, ranges and watches; 0 means none
 * @param maxHistory number of changes kept for watches
 */
public record StoreOptions(
        int port, double writesPerSecond, double readsPerSecond, int maxHistory) {
    /** Default number of changes kept for watches. */
    public static final int DEFAULT_HISTORY = 10_000;

    public static StoreOptions unlimited() {
        return new StoreOptions(0, 0, 0, DEFAULT_HISTORY);
    }
}
