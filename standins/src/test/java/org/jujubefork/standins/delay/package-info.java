/** Measures the delay that the scheduler adds, and what teams and kinds of work get when full. */
package org.jujubefork.standins.delay;
