/**
 * Control state of a node in a fleet that uses the platform's rows and direct connections instead of a tree.
 *
 * <p>All of it belongs to the control thread; rows, reports and frames arrive as events.
 */
package org.mimosahinge.daemon.fleet;
