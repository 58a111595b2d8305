/** The {@code jujubectl} program, with which operators configure and inspect a cell. */
package org.jujubefork.ctl.operator;
