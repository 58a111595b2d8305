package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.model.WorkerId;

/** Chooses a worker for a task or request. */
@FunctionalInterface
public interface PlacementPolicy {
    /** Returns a worker of {@code index} on which {@code demand} fits; empty if there is none. */
    Optional<WorkerId> choose(WorkerIndex index, Demand demand);
}
