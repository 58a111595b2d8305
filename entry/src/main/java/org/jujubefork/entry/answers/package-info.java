/** Answers on their way from a worker to a caller. */
package org.jujubefork.entry.answers;
