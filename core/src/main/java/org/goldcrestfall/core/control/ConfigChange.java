package org.goldcrestfall.core.control;

/**
 * One confirmed change of the configuration: the new value of one object, the others are null.
 * {@code previousRevision} is the revision of the change before it, 0 for the first.
 */
public record ConfigChange(
    long previousRevision,
    long revision,
    ConfigView.Workspace workspace,
    ConfigView.Key key,
    ConfigView.PatienceClass patienceClass,
    ConfigView.Service service) {}
