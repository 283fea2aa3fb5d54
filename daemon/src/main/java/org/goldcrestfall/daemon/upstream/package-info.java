/** Selection of upstreams, and HTTP calls to model engines and plain services. */
package org.goldcrestfall.daemon.upstream;
