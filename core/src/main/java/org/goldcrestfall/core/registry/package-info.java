/**
 * The upstreams that have announced themselves, merged from several sources: the newest
 * announcement of each upstream wins, in whatever order they arrive.
 */
package org.goldcrestfall.core.registry;
