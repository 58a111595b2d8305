/** The protocol between entries: TCP frames with MessagePack. */
package org.jujubefork.entry.peer;
