/** Inputs of the reducer: the observations of an entry, each with its time. */
package org.jujubefork.core.event;
