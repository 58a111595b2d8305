package org.jujubefork.core.model;

/**
 * An amount of CPU, memory and accelerators, used for sizes, capacities, usages and limits.
 *
 * @param cpuMillis CPU in thousandths of a core
 * @param memoryMb memory in MiB
 * @param accelerators number of accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long accelerators) {
    /** No resources. */
    public static final Resources ZERO = new Resources(0, 0, 0);

    /** Returns the resources with the given amounts. */
    public static Resources of(long cpuMillis, long memoryMb, long accelerators) {
        return new Resources(cpuMillis, memoryMb, accelerators);
    }

    /** Returns the component-wise sum. */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillis + other.cpuMillis,
                memoryMb + other.memoryMb,
                accelerators + other.accelerators);
    }

    /** Returns the component-wise difference; components may be negative. */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillis - other.cpuMillis,
                memoryMb - other.memoryMb,
                accelerators - other.accelerators);
    }

    /** Returns these resources multiplied by {@code factor}. */
    public Resources times(long factor) {
        return new Resources(cpuMillis * factor, memoryMb * factor, accelerators * factor);
    }

    /** Returns these resources scaled by {@code factor}, with each component rounded down. */
    public Resources scaled(double factor) {
        return new Resources(
                (long) Math.floor(cpuMillis * factor),
                (long) Math.floor(memoryMb * factor),
                (long) Math.floor(accelerators * factor));
    }

    /** Returns the component-wise maximum of both resources. */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(cpuMillis, other.cpuMillis),
                Math.max(memoryMb, other.memoryMb),
                Math.max(accelerators, other.accelerators));
    }

    /** Returns the component-wise minimum of both resources. */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(cpuMillis, other.cpuMillis),
                Math.min(memoryMb, other.memoryMb),
                Math.min(accelerators, other.accelerators));
    }

    /** Returns whether every component is at most that of {@code other}. */
    public boolean fitsIn(Resources other) {
        return cpuMillis <= other.cpuMillis
                && memoryMb <= other.memoryMb
                && accelerators <= other.accelerators;
    }

    /** Returns how often these resources fit into {@code total}, {@code max} at most. */
    public long countIn(Resources total, long max) {
        long count = max;
        count = Math.min(count, quotient(total.cpuMillis, cpuMillis, max));
        count = Math.min(count, quotient(total.memoryMb, memoryMb, max));
        count = Math.min(count, quotient(total.accelerators, accelerators, max));
        return Math.max(0, count);
    }

    private static long quotient(long total, long amount, long max) {
        return amount == 0 ? (total < 0 ? 0 : max) : total / amount;
    }

    /** Returns whether any component is negative. */
    public boolean isNegative() {
        return cpuMillis < 0 || memoryMb < 0 || accelerators < 0;
    }

    /** Returns whether all components are zero. */
    public boolean isZero() {
        return cpuMillis == 0 && memoryMb == 0 && accelerators == 0;
    }

    /**
     * Returns the dominant share: the largest fraction of {@code total} in any component.
     * Components whose total is zero are ignored.
     */
    public double dominantShareOf(Resources total) {
        double share = 0;
        share = Math.max(share, fraction(cpuMillis, total.cpuMillis));
        share = Math.max(share, fraction(memoryMb, total.memoryMb));
        return Math.max(share, fraction(accelerators, total.accelerators));
    }

    private static double fraction(long amount, long total) {
        return total <= 0 ? 0 : (double) amount / total;
    }

    @Override
    public String toString() {
        return cpuMillis + "m/" + memoryMb + "MiB/" + accelerators + "acc";
    }
}
