package org.jujubefork.client.api;

import org.jujubefork.core.model.Resources;

/**
 * An amount of resources.
 *
 * @param cpuMillis thousandths of a processor core
 * @param memoryMb memory in MiB
 * @param accelerators whole accelerators
 */
public record ResourcesView(long cpuMillis, long memoryMb, long accelerators) {
    /** Returns the amount {@code resources}. */
    public static ResourcesView of(Resources resources) {
        return new ResourcesView(
                resources.cpuMillis(), resources.memoryMb(), resources.accelerators());
    }

    /** Returns this amount as a value of the scheduler. */
    public Resources toResources() {
        return Resources.of(cpuMillis, memoryMb, accelerators);
    }
}
