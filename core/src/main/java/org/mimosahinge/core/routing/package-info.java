/** Chooses the route, the backend server version and the endpoint of a call. */
package org.mimosahinge.core.routing;
