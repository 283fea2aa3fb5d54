package org.goldcrestfall.standin.answer;

/** One message of a prompt. */
public record Message(String role, String content) {}
