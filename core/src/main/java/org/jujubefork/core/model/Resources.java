package org.jujubefork.core.model;

/**
 * An amount of processor, memory and accelerators; a size, a capacity, a usage or a limit.
 *
 * @param cpuMillis thousandths of a processor core
 * @param memoryMb memory in MiB
 * @param accelerators whole accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long accelerators) {
    /** No resources. */
    public static final Resources ZERO = new Resources(0, 0, 0);

    /** Returns the given amounts. */
    public static Resources of(long cpuMillis, long memoryMb, long accelerators) {
        return new Resources(cpuMillis, memoryMb, accelerators);
    }

    /** Returns the sum of both amounts. */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillis + other.cpuMillis,
                memoryMb + other.memoryMb,
                accelerators + other.accelerators);
    }

    /** Returns the difference; components may be negative. */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillis - other.cpuMillis,
                memoryMb - other.memoryMb,
                accelerators - other.accelerators);
    }

    /** Returns this amount {@code factor} times. */
    public Resources times(long factor) {
        return new Resources(cpuMillis * factor, memoryMb * factor, accelerators * factor);
    }

    /** Returns this amount scaled by {@code factor}, each component rounded down. */
    public Resources scaled(double factor) {
        return new Resources(
                (long) Math.floor(cpuMillis * factor),
                (long) Math.floor(memoryMb * factor),
                (long) Math.floor(accelerators * factor));
    }

    /** Returns the larger of both amounts, component by component. */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(cpuMillis, other.cpuMillis),
                Math.max(memoryMb, other.memoryMb),
                Math.max(accelerators, other.accelerators));
    }

    /** Returns the smaller of both amounts, component by component. */
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

    /** Returns whether any component is negative. */
    public boolean isNegative() {
        return cpuMillis < 0 || memoryMb < 0 || accelerators < 0;
    }

    /** Returns whether all components are zero. */
    public boolean isZero() {
        return cpuMillis == 0 && memoryMb == 0 && accelerators == 0;
    }

    /**
     * Returns the dominant share: the largest fraction of {@code total} that this amount takes in
     * any component. Components of which the total is zero are left out.
     */
    public double dominantShareOf(Resources total) {
        double share = 0;
        share = Math.max(share, fraction(cpuMillis, total.cpuMillis));
        share = Math.max(share, fraction(memoryMb, total.memoryMb));
        return Math.max(share, fraction(accelerators, total.accelerators));
    }

    private static double fraction(long part, long whole) {
        return whole <= 0 ? 0 : (double) part / whole;
    }

    @Override
    public String toString() {
        return cpuMillis + "m/" + memoryMb + "MiB/" + accelerators + "acc";
    }
}
