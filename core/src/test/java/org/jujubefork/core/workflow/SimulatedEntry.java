package org.jujubefork.core.workflow;

import java.util.HashMap;
import java.util.Map;

/** An entry of the simulation with its state. */
final class SimulatedEntry {
    final String name;
    final Map<String, Long> workerConnections = new HashMap<>();
    WorkflowState state;
    int incarnation;
    long frozenUntil;
    boolean partitionedFromStore;

    SimulatedEntry(String name) {
        this.name = name;
        this.state = WorkflowState.initial(name);
    }
}
