package org.jujubefork.client.api;

import java.util.List;

/**
 * Response to {@code GET /v1/admin/workers}.
 *
 * @param workers workers of all shards whose owners responded
 * @param missing shards whose owners did not respond in time
 */
public record WorkersView(List<WorkerView> workers, List<MissingShardsView> missing) {
    /** Copies the lists; a missing list becomes empty. */
    public WorkersView {
        workers = MessageChecks.copyOrEmpty(workers);
        missing = MessageChecks.copyOrEmpty(missing);
    }
}
