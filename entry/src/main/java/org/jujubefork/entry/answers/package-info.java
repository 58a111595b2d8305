/** Open requests and their answers, which pass from a worker or another entry to the caller. */
package org.jujubefork.entry.answers;
