package org.jujubefork.config.edit;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The changes of one team. Empty values stay as they are; a new team needs weight, processor and
 * memory.
 *
 * @param name the team
 * @param weight the share relative to the weights of the other teams
 * @param cpuMillis the upper limit in thousandths of a processor core
 * @param memoryMb the upper limit of memory in MiB
 * @param accelerators the upper limit of accelerators
 */
public record TeamEdit(
        String name,
        OptionalDouble weight,
        OptionalLong cpuMillis,
        OptionalLong memoryMb,
        OptionalLong accelerators) {}
