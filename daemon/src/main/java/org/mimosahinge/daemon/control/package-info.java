/**
 * Control state of a daemon: configuration, membership and the roles that it holds by lease, all on the control thread.
 */
package org.mimosahinge.daemon.control;
