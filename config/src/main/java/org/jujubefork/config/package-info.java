/** Parsing, validation, merging, comparison and in-place editing of settings files. */
package org.jujubefork.config;
