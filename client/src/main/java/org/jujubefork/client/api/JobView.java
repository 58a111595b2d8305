package org.jujubefork.client.api;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Locale;

/**
 * A job, returned by {@code POST /v1/jobs}, {@code GET} and {@code DELETE /v1/jobs/ID} and {@code
 * GET /v1/jobs/ID/wait}.
 *
 * @param id identifier of the job
 * @param team team whose usage includes the job
 * @param queue queue to which the job was submitted
 * @param kind {@code batch}, {@code service} or {@code gang}
 * @param state current state of the job
 * @param tasks numbers of tasks by progress
 * @param reason reason why the job waits or failed, empty otherwise
 * @param parts ranges of tasks by shard
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
    /** State of a job. */
    public enum State {
        /** No task has been started yet. */
        @JsonProperty("queued")
        QUEUED,
        /** At least one task has been started. */
        @JsonProperty("running")
        RUNNING,
        /** All tasks succeeded. */
        @JsonProperty("succeeded")
        SUCCEEDED,
        /** A task failed permanently. */
        @JsonProperty("failed")
        FAILED,
        /** A caller cancelled the job. */
        @JsonProperty("cancelled")
        CANCELLED;

        /** Returns the lower-case name of the state in API messages. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }

        /** Returns whether the state is final. */
        public boolean isFinal() {
            return this != QUEUED && this != RUNNING;
        }
    }

    /**
     * Rejects a missing identifier or state and copies the parts; a missing reason becomes empty.
     */
    public JobView {
        MessageChecks.requirePresent("id", id);
        MessageChecks.requirePresent("state", state);
        reason = reason == null ? "" : reason;
        parts = MessageChecks.copyOrEmpty(parts);
    }
}
