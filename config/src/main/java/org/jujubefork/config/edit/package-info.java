/** Access keys, and edits of the base text that keep its comments and layout. */
package org.jujubefork.config.edit;
