/** The protocol between entries: length-prefixed TCP frames with MessagePack payloads. */
package org.jujubefork.entry.peer;
