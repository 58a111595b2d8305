/** Processes and connections that tests start, stop, pause and interrupt. */
package org.jujubefork.standins.process;
