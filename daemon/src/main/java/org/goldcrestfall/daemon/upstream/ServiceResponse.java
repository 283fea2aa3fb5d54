package org.goldcrestfall.daemon.upstream;

/** A complete HTTP response of a plain service. */
public record ServiceResponse(int status, String contentType, byte[] body) {}
