package org.jujubefork.entry.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.jboss.logging.Logger;
import org.jujubefork.client.store.StoreClient;
import org.jujubefork.client.store.StoreException;
import org.jujubefork.client.store.StoreLease;
import org.jujubefork.entry.control.Threads;
import org.jujubefork.entry.telemetry.DaemonMetrics;

/**
 * Keeps the address of this entry in the store, so that new entries can find it. The address is
 * bound to a lease; the store removes it when the entry no longer renews the lease.
 */
public final class EntryRegistration implements AutoCloseable {
    private static final Logger log = Logger.getLogger(EntryRegistration.class);
    private static final Duration LEASE_TTL = Duration.ofSeconds(15);
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(5);
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);

    private final StoreClient store;
    private final String key;
    private final String peerAddress;
    private final DaemonMetrics metrics;
    private final Thread thread;

    private EntryRegistration(
            StoreClient store, String name, String peerAddress, DaemonMetrics metrics) {
        this.store = store;
        this.key = StoreKeys.ENTRIES + name;
        this.peerAddress = peerAddress;
        this.metrics = metrics;
        this.thread = Thread.ofVirtual().name("registration").unstarted(this::run);
    }

    /** Starts a thread that registers the entry {@code name} and renews the registration. */
    public static EntryRegistration start(
            StoreClient store, String name, String peerAddress, DaemonMetrics metrics) {
        EntryRegistration registration = new EntryRegistration(store, name, peerAddress, metrics);
        registration.thread.start();
        return registration;
    }

    private void run() {
        Optional<StoreLease> lease = Optional.empty();
        try {
            while (!Thread.currentThread().isInterrupted()) {
                try {
                    lease = Optional.of(refresh(lease));
                } catch (StoreException e) {
                    log.debugf("event=registration-failed reason=\"%s\"", e.getMessage());
                }
                Thread.sleep(REFRESH_INTERVAL);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private StoreLease refresh(Optional<StoreLease> lease) throws StoreException {
        metrics.countStoreCall("lease");
        if (lease.isPresent() && store.keepAlive(lease.get(), STORE_TIMEOUT)) {
            return lease.get();
        }
        StoreLease grantedLease = store.grantLease(LEASE_TTL, STORE_TIMEOUT);
        metrics.countStoreCall("put");
        store.put(
                key,
                StoreText.encode(peerAddress),
                OptionalLong.empty(),
                Optional.of(grantedLease),
                STORE_TIMEOUT);
        return grantedLease;
    }

    @Override
    public void close() {
        Threads.interruptAndJoin(thread);
    }
}
