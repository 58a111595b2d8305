/** What the command lines share: the table of commands, options, exit codes and output. */
package org.jujubefork.ctl.command;
