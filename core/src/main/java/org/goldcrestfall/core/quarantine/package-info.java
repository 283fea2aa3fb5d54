/** Prompt parts under which engines crash, and their quarantine. */
package org.goldcrestfall.core.quarantine;
