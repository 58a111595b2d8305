package org.jujubefork.core.workflow;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import org.jujubefork.core.model.Resources;

/**
 * The capacity of the usable workers of each service and its allocation during one placement pass.
 * Mutable; used on the control thread for one pass only.
 */
final class ServiceCapacities {
    private final Map<String, Resources> capacities = new HashMap<>();
    private final Map<String, Resources> allocations = new HashMap<>();

    /** Adds a usable worker of which {@code free} is not allocated. */
    void add(WorkerNode.Listing worker, Resources free) {
        capacities.merge(worker.service(), worker.capacity(), Resources::plus);
        allocate(worker.service(), worker.capacity().minus(free));
    }

    /** Allocates {@code size}, which may be negative, of the capacity of {@code service}. */
    void allocate(String service, Resources size) {
        allocations.merge(service, size, Resources::plus);
    }

    /** Returns the fraction of the capacity of {@code service} that is allocated, 0 to 1. */
    double allocatedFraction(String service) {
        return allocations
                .getOrDefault(service, Resources.ZERO)
                .dominantShareOf(capacities.getOrDefault(service, Resources.ZERO));
    }

    /** Returns the capacity of {@code service} that is not allocated. */
    Resources free(String service) {
        return capacities
                .getOrDefault(service, Resources.ZERO)
                .minus(allocations.getOrDefault(service, Resources.ZERO));
    }

    /** Returns the capacity of each service. */
    Map<String, Resources> capacities() {
        return Collections.unmodifiableMap(capacities);
    }

    /** Returns the allocated part of the capacity of each service. */
    Map<String, Resources> allocations() {
        return Collections.unmodifiableMap(allocations);
    }

    /** Returns the CPU capacity of {@code service} in millicores. */
    long cpuMillis(String service) {
        return capacities.getOrDefault(service, Resources.ZERO).cpuMillis();
    }

    /** Returns the CPU capacity of each service in millicores. */
    Map<String, Long> cpuMillis() {
        Map<String, Long> cpu = new HashMap<>();
        capacities.forEach((s, r) -> cpu.put(s, r.cpuMillis()));
        return cpu;
    }
}
