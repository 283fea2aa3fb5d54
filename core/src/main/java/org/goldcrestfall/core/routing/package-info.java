/** Selection of the upstream of a request, from delayed load reports and cache events. */
package org.goldcrestfall.core.routing;
