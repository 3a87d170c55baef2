/**
 * Control state of a node whose fleet shares the platform's rows and direct connections instead of a tree.
 *
 * <p>The control thread owns all of it; rows, reports and frames arrive as events.
 */
package org.mimosahinge.daemon.fleet;
