/**
 * The state that the daemons of a site share: the configuration, the registry of upstreams and the
 * prepaid tokens. Control daemons store it. Each router watches two control daemons, and continues
 * with the last known state while it can reach none.
 */
package org.goldcrestfall.daemon.site;
