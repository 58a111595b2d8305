/** Inputs of the reducer: everything that an entry observes, with the time of the observation. */
package org.jujubefork.core.event;
