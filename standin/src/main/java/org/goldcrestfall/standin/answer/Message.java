package org.goldcrestfall.standin.answer;

/** One message of a prompt, as written in the JSON of a request. */
public record Message(String role, String content) {}
