/**
 * The daemon that serves workflow jobs, which consist of several steps. It runs the workflow
 * reducer, executes its effects through the interfaces of this package, and connects the followers
 * with the leader.
 */
package org.jujubefork.entry.workflow;
