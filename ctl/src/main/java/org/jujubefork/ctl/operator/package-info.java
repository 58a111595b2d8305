/** The commands of operators. */
package org.jujubefork.ctl.operator;
