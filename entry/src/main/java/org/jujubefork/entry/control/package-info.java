/** The control thread, which runs the reducer, and the hand-over of effects to executors. */
package org.jujubefork.entry.control;
