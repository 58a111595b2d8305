/** Answers to why work waits and where it was placed, from the control state. */
package org.jujubefork.core.explain;
