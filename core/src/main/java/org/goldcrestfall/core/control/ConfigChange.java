package org.goldcrestfall.core.control;

/**
 * A confirmed change of the configuration. It holds the new value of one object; the other objects
 * are null. {@code previousRevision} is the revision of the preceding change, 0 for the first.
 */
public record ConfigChange(
    long previousRevision,
    long revision,
    ConfigView.Workspace workspace,
    ConfigView.Key key,
    ConfigView.PatienceClass patienceClass,
    ConfigView.Service service) {}
