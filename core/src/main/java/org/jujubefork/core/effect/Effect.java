package org.jujubefork.core.effect;

/**
 * Something that the entry is to do. Effects are data; executors outside of the core carry them
 * out.
 */
public sealed interface Effect
        permits GossipEffect, WorkerEffect, RequestEffect, StoreEffect, LogDecision {}
