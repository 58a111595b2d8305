package org.jujubefork.standins.store;

/**
 * Faults that are switched on.
 *
 * @param outage whether connections are closed without an answer
 * @param slowMillis delay of each answer
 * @param loseAnswers number of next writes whose answers are lost after they took effect
 * @param nonsense number of next calls that are answered with invalid JSON and have no effect
 */
record StoreFaults(boolean outage, long slowMillis, long loseAnswers, long nonsense) {
    static final StoreFaults NONE = new StoreFaults(false, 0, 0, 0);

    StoreFaults withOutage(boolean on) {
        return new StoreFaults(on, slowMillis, loseAnswers, nonsense);
    }

    StoreFaults withSlowMillis(long millis) {
        return new StoreFaults(outage, millis, loseAnswers, nonsense);
    }

    StoreFaults withLoseAnswers(long count) {
        return new StoreFaults(outage, slowMillis, count, nonsense);
    }

    StoreFaults withNonsense(long count) {
        return new StoreFaults(outage, slowMillis, loseAnswers, count);
    }
}
