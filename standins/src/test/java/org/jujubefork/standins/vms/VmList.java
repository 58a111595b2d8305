package org.jujubefork.standins.vms;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.vms.VmListing;
import org.jujubefork.client.vms.VmRole;
import org.jujubefork.client.vms.VmState;
import org.jujubefork.client.worker.TaskJson;
import org.jujubefork.core.model.Resources;
import org.jujubefork.standins.fleet.FleetFile;
import org.jujubefork.standins.http.Call;
import org.jujubefork.standins.http.Reply;
import org.jujubefork.standins.http.StandinServer;
import org.pcollections.PMap;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

/** The VM list: shows each change only after a lag. */
public final class VmList implements AutoCloseable {
    private static final String CONTROL = "/control/vms/";

    private final long lagNanos;

    // Keeps the tags of a restarted list apart from those of its predecessor.
    private final String instance = UUID.randomUUID().toString();
    private final AtomicInteger wholeAnswers = new AtomicInteger();
    private final StandinServer server;

    // Guarded by this.
    private PMap<String, VmListing> visible = TreePMap.empty();
    private TreePVector<Change> pending = TreePVector.empty();
    private long version;

    /** A change that becomes visible at a time; {@code listing} is null for a removal. */
    private record Change(String id, VmListing listing, long visibleNanos) {}

    private VmList(int port, Duration lag, List<VmListing> initial) throws IOException {
        this.lagNanos = lag.toNanos();
        for (VmListing vm : initial) {
            visible = visible.plus(vm.id(), vm);
        }
        this.server = StandinServer.start(port, this::handle);
    }

    /**
     * Starts a list of the VMs of a file.
     *
     * @param port port of the loopback interface, 0 for a free one
     * @param lag time after which the list shows a change
     */
    public static VmList start(int port, Duration lag, FleetFile file) throws IOException {
        List<VmListing> workers = file.workers().stream().map(VmList::listing).toList();
        List<VmListing> entries = file.entries().stream().map(VmList::listing).toList();
        return new VmList(port, lag, TreePVector.from(workers).plusAll(entries));
    }

    public int port() {
        return server.port();
    }

    /** Returns how many answers had the whole list as their body. */
    public int wholeAnswers() {
        return wholeAnswers.get();
    }

    /** Adds or replaces a VM. */
    public synchronized void put(VmListing vm) {
        change(vm.id(), vm);
    }

    public synchronized void remove(String id) {
        change(id, null);
    }

    /** Marks a VM as leaving, or as live again. */
    public synchronized void leaving(String id, boolean on) {
        VmListing vm = latest(id);
        if (vm == null) {
            throw new IllegalArgumentException("no such VM: " + id);
        }
        change(
                id,
                new VmListing(
                        id,
                        vm.address(),
                        vm.role(),
                        vm.location(),
                        vm.capacity(),
                        vm.slots(),
                        on ? VmState.LEAVING : VmState.LIVE));
    }

    @Override
    public void close() {
        server.close();
    }

    private void change(String id, VmListing listing) {
        pending = pending.plus(new Change(id, listing, System.nanoTime() + lagNanos));
    }

    /** Returns the VM with all changes, visible or not; null if there is none. */
    private VmListing latest(String id) {
        VmListing result = visible.get(id);
        for (Change change : pending) {
            if (change.id().equals(id)) {
                result = change.listing();
            }
        }
        return result;
    }

    private synchronized PMap<String, VmListing> show() {
        long now = System.nanoTime();
        while (!pending.isEmpty() && pending.get(0).visibleNanos() - now <= 0) {
            Change change = pending.get(0);
            pending = pending.minus(0);
            version++;
            visible =
                    change.listing() == null
                            ? visible.minus(change.id())
                            : visible.plus(change.id(), change.listing());
        }
        return visible;
    }

    private Reply handle(Call call) {
        if (call.path().equals("/v1/vms")) {
            return list(call);
        }
        if (!call.path().startsWith(CONTROL)) {
            return Reply.error(404, "NO_SUCH_RESOURCE", call.path());
        }
        switch (call.path().substring(CONTROL.length())) {
            case "add-worker" -> put(listing(FleetFile.worker(call.json())));
            case "add-entry" -> put(listing(FleetFile.entry(call.json())));
            case "remove" -> remove(call.text("id"));
            case "leaving" -> leaving(call.text("id"), call.text("on").equals("true"));
            default -> {
                return Reply.error(404, "NO_SUCH_RESOURCE", call.path());
            }
        }
        return Reply.json(200, Reply.object());
    }

    /** Answers the list, or 304 if the caller has the visible one. */
    private Reply list(Call call) {
        PMap<String, VmListing> shown;
        String tag;
        synchronized (this) {
            shown = show();
            tag = "\"" + instance + "-" + version + "\"";
        }
        if (call.ifNoneMatch().equals(tag)) {
            return Reply.notModified(tag);
        }
        ObjectNode answer = Reply.object();
        ArrayNode vms = answer.putArray("vms");
        shown.values().forEach(vm -> write(vms.addObject(), vm));
        wholeAnswers.incrementAndGet();
        return Reply.json(200, answer, Map.of("ETag", tag));
    }

    private static void write(ObjectNode node, VmListing vm) {
        node.put("id", vm.id())
                .put("address", vm.address().toString())
                .put("role", vm.role() == VmRole.WORKER ? "worker" : "entry")
                .put("region", vm.location().region())
                .put("zone", vm.location().zone())
                .put("rack", vm.location().rack())
                .put("slots", vm.slots())
                .put("state", vm.state() == VmState.LIVE ? "live" : "leaving");
        TaskJson.writeResources(node.putObject("capacity"), vm.capacity());
    }

    private static VmListing listing(FleetFile.Worker worker) {
        return new VmListing(
                worker.id(),
                Address.of(worker.host(), worker.port()),
                VmRole.WORKER,
                worker.location(),
                worker.capacity(),
                worker.slots(),
                VmState.LIVE);
    }

    private static VmListing listing(FleetFile.Entry entry) {
        return new VmListing(
                entry.id(),
                entry.address(),
                VmRole.ENTRY,
                entry.location(),
                Resources.ZERO,
                0,
                VmState.LIVE);
    }
}
