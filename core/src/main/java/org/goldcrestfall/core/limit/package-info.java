/** Rate and concurrency limits of workspaces and keys, held fleet-wide without a central hop. */
package org.goldcrestfall.core.limit;
