/**
 * Selection of the upstream of a request: what one router knows of the load, health and cached
 * prompt parts of each upstream, and the choice among them.
 */
package org.goldcrestfall.core.dispatch;
