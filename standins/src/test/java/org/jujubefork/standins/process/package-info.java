/** Processes and connections that tests start, stop and disturb. */
package org.jujubefork.standins.process;
