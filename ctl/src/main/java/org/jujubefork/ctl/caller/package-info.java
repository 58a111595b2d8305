/** The {@code jujube-run} program, with which teams send requests and submit jobs. */
package org.jujubefork.ctl.caller;
