package org.jujubefork.client.worker;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.CallResult;
import org.jujubefork.client.http.ChunkSink;
import org.jujubefork.client.http.JsonFields;
import org.jujubefork.client.http.Transport;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;

/**
 * Client for all workers (section 7 of the design page).
 *
 * <p>Each call blocks, has a time limit and is sent at most once (see {@link Transport}). Safe for
 * use by many threads.
 *
 * <p>A renewal contains the revision of the worker's last response, and the worker returns only the
 * changes since then. The client applies them to its snapshot of the worker, so that callers always
 * receive the full list of running tasks.
 */
public final class WorkerClient {
    private final Transport transport;
    private final SnapshotCache snapshots = new SnapshotCache();

    /** Creates a client; the caller closes the transport. */
    public WorkerClient(Transport transport) {
        this.transport = transport;
    }

    /**
     * Requests a worker's lease. A worker accepts an epoch that is not lower than its current one.
     *
     * @param ttl time until the lease expires if it is not renewed; the worker stops its tasks then
     */
    public LeaseResult lease(Address worker, Epoch epoch, Duration ttl, Duration timeout) {
        ObjectNode body = epochFields(epoch).put("ttlMillis", ttl.toMillis());
        LeaseResult result = WorkerResponses.lease(post(worker, "/v1/lease", body, timeout));
        if (result instanceof LeaseResult.Granted g && g.revision() > 0) {
            snapshots.put(worker, WorkerSnapshot.of(epoch, g), ttl);
        }
        return result;
    }

    /**
     * Renews a worker's lease.
     *
     * @param acknowledged ended tasks that the worker need not report again
     */
    public LeaseResult renew(
            Address worker,
            Epoch epoch,
            Duration ttl,
            Collection<TaskId> acknowledged,
            Duration timeout) {
        ObjectNode body = epochFields(epoch).put("ttlMillis", ttl.toMillis());
        if (!acknowledged.isEmpty()) {
            ArrayNode list = body.putArray("acknowledged");
            acknowledged.forEach(id -> list.add(id.value()));
        }
        Optional<WorkerSnapshot> baseSnapshot = snapshots.get(worker, epoch);
        baseSnapshot.ifPresent(snapshot -> body.put("seen", snapshot.revision()));
        LeaseResult result =
                WorkerResponses.renew(post(worker, "/v1/renew", body, timeout), baseSnapshot);
        switch (result) {
            case LeaseResult.Granted g when g.revision() > 0 ->
                    snapshots.put(worker, WorkerSnapshot.of(epoch, g), ttl);
            // Nothing was sent, so the cached snapshot is still the worker's last response.
            case LeaseResult.NotConnected n -> {}
            default -> snapshots.drop(worker);
        }
        return result;
    }

    /**
     * Starts a task of a job and sends its payload.
     *
     * @param incarnation worker incarnation from the lease
     * @throws IllegalArgumentException if the task is a request, which {@link #request} runs
     */
    public StartResult start(
            Address worker, Epoch epoch, long incarnation, TaskSpec task, Duration timeout) {
        if (task.kind().isRequest()) {
            throw new IllegalArgumentException(
                    "task is a request, not a task of a job: " + task.id());
        }
        ObjectNode body = startFields(epoch, incarnation, task).put("payload", task.payload());
        return WorkerResponses.start(post(worker, "/v1/tasks", body, timeout), false);
    }

    /**
     * Runs a request and passes the response body to the sink as it arrives.
     *
     * @param incarnation worker incarnation from the lease
     * @param input request body, sent as Base64 in the field {@code body}
     * @param sink receives the response body in chunks of at most {@link ChunkSink#MAX_CHUNK_BYTES}
     * @param timeout time limit for the whole call, including the run and the response
     * @throws IllegalArgumentException if the task is not a request
     */
    public StartResult request(
            Address worker,
            Epoch epoch,
            long incarnation,
            TaskSpec task,
            byte[] input,
            ChunkSink sink,
            Duration timeout) {
        if (!task.kind().isRequest()) {
            throw new IllegalArgumentException("not a request: " + task.id());
        }
        ObjectNode body = startFields(epoch, incarnation, task).put("body", input);
        HttpRequest.Builder request = postBuilder(worker, "/v1/tasks", body);
        return WorkerResponses.start(transport.stream(request, sink, timeout), true);
    }

    /** Stops a task; {@link #checkpoint} lets it save its progress first. */
    public CommandResult stop(Address worker, Epoch epoch, TaskId task, Duration timeout) {
        return sendCommand(worker, task, "stop", epochFields(epoch), timeout);
    }

    /** Makes a task save its progress and then stop. */
    public CommandResult checkpoint(Address worker, Epoch epoch, TaskId task, Duration timeout) {
        return sendCommand(worker, task, "checkpoint", epochFields(epoch), timeout);
    }

    /**
     * Limits the CPU usage of a task.
     *
     * @param cpuMillis limit in thousandths of a CPU core
     */
    public CommandResult throttle(
            Address worker, Epoch epoch, TaskId task, long cpuMillis, Duration timeout) {
        ObjectNode body = epochFields(epoch).put("cpuMillis", cpuMillis);
        return sendCommand(worker, task, "throttle", body, timeout);
    }

    private CommandResult sendCommand(
            Address worker, TaskId task, String action, ObjectNode body, Duration timeout) {
        // Identifiers may contain '/', which would be a path separator unless encoded.
        String id = URLEncoder.encode(task.value(), StandardCharsets.UTF_8);
        return WorkerResponses.command(
                post(worker, "/v1/tasks/" + id + "/" + action, body, timeout));
    }

    private static ObjectNode epochFields(Epoch epoch) {
        return JsonFields.object()
                .put("holder", epoch.holder().toString())
                .put("epoch", epoch.number());
    }

    private static ObjectNode startFields(Epoch epoch, long incarnation, TaskSpec task) {
        ObjectNode body = epochFields(epoch).put("incarnation", incarnation);
        TaskJson.write(body, task);
        return body;
    }

    private CallResult post(Address worker, String path, ObjectNode body, Duration timeout) {
        return transport.call(postBuilder(worker, path, body), timeout);
    }

    private static HttpRequest.Builder postBuilder(Address worker, String path, ObjectNode body) {
        return HttpRequest.newBuilder(worker.uri(path))
                .header("Content-Type", "application/json")
                // Shorter than the default value, which adds the Java version to each renewal.
                .header("User-Agent", "jujube")
                .POST(BodyPublishers.ofByteArray(JsonFields.encode(body)));
    }
}
