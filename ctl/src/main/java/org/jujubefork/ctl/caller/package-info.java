/** The commands of callers. */
package org.jujubefork.ctl.caller;
