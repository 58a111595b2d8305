/** Identifiers, resource vectors and kinds of work shared by all packages. */
package org.jujubefork.core.model;
