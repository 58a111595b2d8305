package org.jujubefork.client.api;

/**
 * An entry as the answering entry sees it.
 *
 * @param entry the entry's name and incarnation
 * @param region its region
 * @param zone its availability zone
 * @param state alive, suspect, failed or leaving
 * @param configurationVersion the version it last reported
 */
public record MemberView(
        String entry, String region, String zone, String state, long configurationVersion) {}
