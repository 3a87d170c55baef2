/** Decisions that pick route, backend server version and endpoint of a call. */
package org.mimosahinge.core.routing;
