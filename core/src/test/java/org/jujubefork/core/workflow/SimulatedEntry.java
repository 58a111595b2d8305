package org.jujubefork.core.workflow;

import java.util.HashMap;
import java.util.Map;

/** An entry of the simulation with its state. */
final class SimulatedEntry {
    final String id;
    final Map<String, Long> workerConnections = new HashMap<>();

    /** The newest revision of each request to evacuate a zone that the entry was shown. */
    final Map<String, Long> shownEvacuations = new HashMap<>();

    WorkflowState state;

    /**
     * Number of the current boot, from 0; each crash increases it. Events for an earlier
     * incarnation of the entry are dropped.
     */
    int boot;

    long frozenUntil;
    long evacuationWatchSilentUntil;
    boolean partitionedFromStore;

    /** Whether the process runs. */
    boolean isUp;

    SimulatedEntry(String id) {
        this.id = id;
        this.state = WorkflowState.initial(id, 1_000);
    }
}
