/** Prometheus metrics and the log lines for scheduling decisions. */
package org.jujubefork.entry.telemetry;
