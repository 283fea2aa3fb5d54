/**
 * The upstreams that have announced themselves, merged from several sources. The latest
 * announcement of each upstream wins, regardless of the order of arrival.
 */
package org.goldcrestfall.core.registry;
