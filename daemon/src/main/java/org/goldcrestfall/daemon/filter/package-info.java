/** The chain of filters that a caller's request passes, each with one responsibility. */
package org.goldcrestfall.daemon.filter;
