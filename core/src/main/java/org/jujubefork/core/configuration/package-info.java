/** The checked configuration that is in force, and its version. */
package org.jujubefork.core.configuration;
