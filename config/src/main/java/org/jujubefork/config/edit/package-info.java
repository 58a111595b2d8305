/** Creation of access keys, and edits of a base file that preserve comments and layout. */
package org.jujubefork.config.edit;
