/** Log lines and metrics. */
package org.jujubefork.entry.telemetry;
