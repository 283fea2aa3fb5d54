package org.goldcrestfall.daemon.upstream;

/** A complete HTTP response of a plain service. */
public record ServiceAnswer(int status, String contentType, byte[] body) {}
