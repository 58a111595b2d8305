/** Parser for JSON with comments that records the line, column and offsets of every value. */
package org.jujubefork.config.source;
