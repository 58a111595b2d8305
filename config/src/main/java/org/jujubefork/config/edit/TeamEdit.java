package org.jujubefork.config.edit;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The new values of one team. Values that are empty here remain unchanged; a new team needs weight,
 * processor and memory.
 *
 * @param name the name of the team
 * @param weight the fair-share weight relative to the other teams
 * @param cpuMillis the upper limit in thousandths of a processor core
 * @param memoryMb the upper limit of memory in MiB
 * @param accelerators the upper limit of accelerators; 0 for a new team if empty
 */
public record TeamEdit(
        String name,
        OptionalDouble weight,
        OptionalLong cpuMillis,
        OptionalLong memoryMb,
        OptionalLong accelerators) {}
