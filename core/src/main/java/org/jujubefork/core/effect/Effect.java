package org.jujubefork.core.effect;

/**
 * An action that the reducer requests. Effects are plain data; executors outside of the core module
 * carry them out.
 */
public sealed interface Effect
        permits GossipEffect, WorkerEffect, RequestEffect, StoreEffect, LogDecision {}
