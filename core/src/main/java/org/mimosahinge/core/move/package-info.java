/** Decisions about moving a service's traffic from one backend server version to another. */
package org.mimosahinge.core.move;
