package org.jujubefork.entry.platform;

import java.time.Duration;
import java.util.List;
import org.jboss.logging.Logger;
import org.jujubefork.client.vms.VmListClient;
import org.jujubefork.client.vms.VmListException;
import org.jujubefork.client.vms.VmListing;
import org.jujubefork.client.vms.VmRole;
import org.jujubefork.client.vms.VmState;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.entry.control.Clock;
import org.jujubefork.entry.control.EventSink;
import org.jujubefork.entry.control.Threads;
import org.pcollections.TreePVector;

/** Reads the VM list at a fixed interval and posts the listed workers as events. */
public final class VmListPoller implements AutoCloseable {
    private static final Logger log = Logger.getLogger(VmListPoller.class);
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(2);

    private final VmListClient listClient;
    private final Duration interval;
    private final Clock clock;
    private final EventSink events;
    private final Thread thread;

    private VmListPoller(VmListClient list, Duration interval, Clock clock, EventSink events) {
        this.listClient = list;
        this.interval = interval;
        this.clock = clock;
        this.events = events;
        this.thread = Thread.ofVirtual().name("vm-list").unstarted(this::run);
    }

    /** Starts a thread that reads the list every {@code interval}. */
    public static VmListPoller start(
            VmListClient list, Duration interval, Clock clock, EventSink events) {
        VmListPoller poller = new VmListPoller(list, interval, clock, events);
        poller.thread.start();
        return poller;
    }

    private void run() {
        List<VmListing> previousListings = null;
        TreePVector<WorkerListing> workers = TreePVector.empty();
        try {
            while (!Thread.currentThread().isInterrupted()) {
                try {
                    List<VmListing> listings = listClient.list(LIST_TIMEOUT);
                    // The client returns the same instance if the list has not changed.
                    if (listings != previousListings) {
                        workers = toWorkerListings(listings);
                        previousListings = listings;
                    }
                    events.post(new FleetEvent.WorkersListed(clock.millis(), workers));
                } catch (VmListException e) {
                    log.warnf("event=vm-list-failed reason=\"%s\"", e.getMessage());
                }
                Thread.sleep(interval);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static TreePVector<WorkerListing> toWorkerListings(List<VmListing> listings) {
        return TreePVector.from(
                listings.stream()
                        .filter(l -> l.role() == VmRole.WORKER)
                        .map(
                                l ->
                                        new WorkerListing(
                                                WorkerId.of(l.id()),
                                                l.address().toString(),
                                                l.location(),
                                                l.capacity(),
                                                l.slots(),
                                                l.state() == VmState.LEAVING))
                        .toList());
    }

    @Override
    public void close() {
        Threads.interruptAndJoin(thread);
    }
}
