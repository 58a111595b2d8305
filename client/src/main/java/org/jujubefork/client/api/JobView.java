package org.jujubefork.client.api;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Locale;

/**
 * A job, the answer to {@code POST /v1/jobs}, {@code GET} and {@code DELETE /v1/jobs/ID} and {@code
 * GET /v1/jobs/ID/wait}.
 *
 * @param id the job
 * @param team the team that is charged
 * @param queue the queue
 * @param kind batch, service or gang
 * @param state where the job stands
 * @param tasks how far its tasks are
 * @param reason why it waits or failed, empty otherwise
 * @param parts its parts by shard
 */
public record JobView(
        String id,
        String team,
        String queue,
        String kind,
        State state,
        TaskCounts tasks,
        String reason,
        List<JobPartView> parts) {
    /** Where a job stands. */
    public enum State {
        /** No task was started yet. */
        @JsonProperty("queued")
        QUEUED,
        /** Tasks were started. */
        @JsonProperty("running")
        RUNNING,
        /** All tasks succeeded. */
        @JsonProperty("succeeded")
        SUCCEEDED,
        /** A task failed for good. */
        @JsonProperty("failed")
        FAILED,
        /** A caller cancelled the job. */
        @JsonProperty("cancelled")
        CANCELLED;

        /** Returns the name of the state in messages. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }

        /** Returns whether the state is final. */
        public boolean isFinal() {
            return this != QUEUED && this != RUNNING;
        }
    }

    /** Copies the parts. */
    public JobView {
        MessageChecks.requirePresent("id", id);
        MessageChecks.requirePresent("state", state);
        reason = reason == null ? "" : reason;
        parts = MessageChecks.copyOrEmpty(parts);
    }
}
