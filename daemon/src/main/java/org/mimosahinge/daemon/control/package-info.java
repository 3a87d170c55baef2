/** Control state of a daemon: configuration, membership, roles held by lease. One thread owns all of it. */
package org.mimosahinge.daemon.control;
