package org.jujubefork.core.placement;

import java.util.Optional;
import org.jujubefork.core.model.WorkerId;

/** Chooses a worker for a piece of work. */
@FunctionalInterface
public interface PlacementPolicy {
    /** Returns a worker of {@code index} that {@code demand} fits on, if there is one. */
    Optional<WorkerId> choose(WorkerIndex index, Demand demand);
}
