/** JSON with comments, read so that every value knows its line, column and offsets. */
package org.jujubefork.config.source;
