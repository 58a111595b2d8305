package org.jujubefork.client.api;

import java.util.List;

/**
 * The answer to {@code GET /v1/admin/workers}.
 *
 * @param workers workers of the shards that the answering entry owns
 */
public record WorkersView(List<WorkerView> workers) {
    /** Copies the list. */
    public WorkersView {
        workers = Views.copyOf(workers);
    }
}
