/** The chain of filters through which each caller's request passes. */
package org.goldcrestfall.daemon.filter;
