/** Identifiers, resource vectors, kinds of work and other values shared by all packages. */
package org.jujubefork.core.model;
