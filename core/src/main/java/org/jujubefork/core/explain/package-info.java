/** Explanations, derived from the control state, of why work waits and where it was placed. */
package org.jujubefork.core.explain;
