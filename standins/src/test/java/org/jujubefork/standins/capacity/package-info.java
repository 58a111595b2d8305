/** Measures what entries cost as the cell grows. */
package org.jujubefork.standins.capacity;
