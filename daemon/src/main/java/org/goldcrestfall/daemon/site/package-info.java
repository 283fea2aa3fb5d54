/**
 * What the daemons of a site share: the configuration, the registry of upstreams and the prepaid
 * tokens. Control daemons keep them; routers watch two control daemons and go on with what they
 * have while they reach none.
 */
package org.goldcrestfall.daemon.site;
