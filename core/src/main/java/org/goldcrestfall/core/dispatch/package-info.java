/**
 * Where a request goes: what one router knows of each upstream's load, health and cached prompt
 * parts, and the choice among them.
 */
package org.goldcrestfall.core.dispatch;
