/** Choice of an upstream for a request, from late load reports and cache events. */
package org.goldcrestfall.core.routing;
