package org.goldcrestfall.core.control;

/**
 * A workspace whose routers lack {@code shortage} tokens that its unallotted rest does not cover;
 * routers hand back what they do not need at once.
 */
public record Recall(String workspace, long unallotted, long shortage) {}
