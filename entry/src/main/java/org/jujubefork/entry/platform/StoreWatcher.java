package org.jujubefork.entry.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.jujubefork.client.store.Change;
import org.jujubefork.client.store.KeyValue;
import org.jujubefork.client.store.RangeResult;
import org.jujubefork.client.store.StoreClient;
import org.jujubefork.client.store.StoreException;
import org.jujubefork.client.store.WatchResult;
import org.jujubefork.core.event.JobEvent;
import org.jujubefork.core.event.LimitEvent;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.event.StoreEvent;
import org.jujubefork.core.jobs.StoredJob;
import org.jujubefork.core.model.JobId;
import org.jujubefork.entry.control.Clock;
import org.jujubefork.entry.control.EventSink;
import org.jujubefork.entry.control.Threads;
import org.jujubefork.entry.telemetry.DaemonMetrics;
import org.pcollections.TreePVector;

/**
 * Watches the shared keys of the store and posts their changes as events.
 *
 * <p>The event for a contact with the store is posted after the events for the changes that the
 * contact delivered, so a reducer that has seen the contact has also seen the changes.
 */
public final class StoreWatcher implements AutoCloseable {
    private static final Logger log = Logger.getLogger(StoreWatcher.class);
    private static final Duration MAX_WATCH_WAIT = Duration.ofSeconds(2);
    private static final Duration RANGE_TIMEOUT = Duration.ofSeconds(5);

    /** Minimum interval between watch calls; limits their rate while keys change continuously. */
    private static final long MIN_WATCH_INTERVAL_MILLIS = 200;

    private static final long MIN_BACKOFF_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 2_000;

    private final StoreClient store;
    private final ConfigurationSource configuration;
    private final Clock clock;
    private final EventSink events;
    private final RandomGenerator random;
    private final DaemonMetrics metrics;
    private final Map<String, String> entryAddresses = new TreeMap<>();
    private final Set<String> knownJobKeys = new HashSet<>();
    private final Thread thread;

    private StoreWatcher(
            StoreClient store,
            ConfigurationSource configuration,
            Clock clock,
            EventSink events,
            RandomGenerator random,
            DaemonMetrics metrics) {
        this.store = store;
        this.configuration = configuration;
        this.clock = clock;
        this.events = events;
        this.random = random;
        this.metrics = metrics;
        this.thread = Thread.ofVirtual().name("store-watch").unstarted(this::run);
    }

    /** Starts a thread that watches the store. */
    public static StoreWatcher start(
            StoreClient store,
            ConfigurationSource configuration,
            Clock clock,
            EventSink events,
            RandomGenerator random,
            DaemonMetrics metrics) {
        StoreWatcher watcher =
                new StoreWatcher(store, configuration, clock, events, random, metrics);
        watcher.thread.start();
        return watcher;
    }

    private void run() {
        Optional<Long> lastRevision = Optional.empty();
        long backoffMillis = MIN_BACKOFF_MILLIS;
        try {
            while (!Thread.currentThread().isInterrupted()) {
                long sentAt = clock.millis();
                try {
                    lastRevision = Optional.of(readChanges(lastRevision));
                    events.post(new StoreEvent.StoreContacted(clock.millis(), sentAt));
                    backoffMillis = MIN_BACKOFF_MILLIS;
                    Thread.sleep(
                            Math.max(0, MIN_WATCH_INTERVAL_MILLIS - (clock.millis() - sentAt)));
                } catch (StoreException e) {
                    if (Thread.currentThread().isInterrupted()) {
                        return; // The call was interrupted by close(); the store has not failed.
                    }
                    log.warnf("event=store-failed reason=\"%s\"", e.getMessage());
                    events.post(new StoreEvent.StoreFailed(clock.millis()));
                    // Jitter spreads the calls of the entries to a store that has recovered.
                    Thread.sleep(backoffMillis / 2 + random.nextLong(backoffMillis));
                    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long readChanges(Optional<Long> lastRevision) throws StoreException {
        if (lastRevision.isEmpty()) {
            return readAllKeys();
        }
        metrics.countStoreCall("watch");
        return switch (store.watch(StoreKeys.SHARED, lastRevision.get(), MAX_WATCH_WAIT)) {
            case WatchResult.Trimmed trimmed -> readAllKeys();
            case WatchResult.Changes changes -> {
                postChanges(changes.changes());
                yield changes.revision();
            }
        };
    }

    private long readAllKeys() throws StoreException {
        metrics.countStoreCall("range");
        RangeResult range = store.range(StoreKeys.SHARED, RANGE_TIMEOUT);
        List<Change> changes = new ArrayList<>();
        // A known key that is absent from the range was deleted since the last watch call.
        Set<String> deletedKeys = new HashSet<>(knownJobKeys);
        deletedKeys.addAll(entryAddresses.keySet());
        for (KeyValue item : range.items()) {
            changes.add(new Change(item.key(), item.revision(), Optional.of(item.value())));
            deletedKeys.remove(item.key());
        }
        deletedKeys.forEach(
                key -> changes.add(new Change(key, range.revision(), Optional.empty())));
        postChanges(changes);
        return range.revision();
    }

    private void postChanges(List<Change> changes) {
        TreePVector<StoredJob> jobs = TreePVector.empty();
        TreePVector<JobId> removedJobs = TreePVector.empty();
        boolean peersChanged = false;
        for (Change change : changes) {
            String key = change.key();
            if (key.equals(StoreKeys.CONFIGURATION)) {
                change.value()
                        .ifPresent(v -> configuration.offer(StoreText.decode(v), Optional.empty()));
            } else if (key.equals(StoreKeys.LEDGER)) {
                change.value().ifPresent(v -> postLedger(change.revision(), v));
            } else if (key.startsWith(StoreKeys.ENTRIES)) {
                peersChanged = updateEntryAddress(change) || peersChanged;
            } else if (key.startsWith(StoreKeys.JOBS)) {
                Optional<StoredJob> job =
                        change.value().flatMap(v -> decodeJob(change.revision(), v));
                if (job.isPresent()) {
                    jobs = jobs.plus(job.get());
                }
                if (!change.isDeletion()) {
                    knownJobKeys.add(key);
                } else {
                    knownJobKeys.remove(key);
                    removedJobs =
                            removedJobs.plus(JobId.of(key.substring(StoreKeys.JOBS.length())));
                }
            }
        }
        if (!jobs.isEmpty() || !removedJobs.isEmpty()) {
            events.post(new JobEvent.JobRecordsChanged(clock.millis(), jobs, removedJobs));
        }
        if (peersChanged) {
            events.post(
                    new MembershipEvent.PeersDiscovered(
                            clock.millis(), TreePVector.from(entryAddresses.values())));
        }
    }

    private void postLedger(long revision, byte[] value) {
        try {
            events.post(
                    new LimitEvent.LedgerLoaded(
                            clock.millis(), revision, LedgerCodec.decode(StoreText.decode(value))));
        } catch (MalformedRecordException e) {
            log.errorf("event=ledger-unreadable reason=\"%s\"", e.getMessage());
        }
    }

    private Optional<StoredJob> decodeJob(long revision, byte[] value) {
        try {
            return Optional.of(new StoredJob(revision, JobCodec.decode(StoreText.decode(value))));
        } catch (MalformedRecordException e) {
            log.errorf("event=job-record-unreadable reason=\"%s\"", e.getMessage());
            return Optional.empty();
        }
    }

    private boolean updateEntryAddress(Change change) {
        if (change.isDeletion()) {
            return entryAddresses.remove(change.key()) != null;
        }
        String address = StoreText.decode(change.value().get());
        return !address.equals(entryAddresses.put(change.key(), address));
    }

    @Override
    public void close() {
        Threads.interruptAndJoin(thread);
    }
}
