package org.jujubefork.client.api;

import java.util.List;

/**
 * The answer to {@code GET /v1/admin/workers}.
 *
 * @param workers workers of all shards whose owners answered
 * @param missing shards whose owners did not answer in time
 */
public record WorkersView(List<WorkerView> workers, List<MissingShardsView> missing) {
    /** Copies the lists. */
    public WorkersView {
        workers = MessageChecks.copyOrEmpty(workers);
        missing = MessageChecks.copyOrEmpty(missing);
    }
}
