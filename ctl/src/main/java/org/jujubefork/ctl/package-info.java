/** The command lines {@code jujubectl} for operators and {@code jujube-run} for callers. */
package org.jujubefork.ctl;
