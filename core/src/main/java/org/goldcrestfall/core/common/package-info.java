/** Types shared by all packages: clock, error kinds, failures, incarnations. */
package org.goldcrestfall.core.common;
