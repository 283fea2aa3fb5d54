package org.goldcrestfall.daemon.upstream;

/** The whole answer of a plain service. */
public record ServiceAnswer(int status, String contentType, byte[] body) {}
