/** Validates the example files and generates their recorded requests. */
package org.jujubefork.config.examples;
