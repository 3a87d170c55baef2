/** Stand-in of backend servers: HTTP servers that announce themselves and show faults on request. */
package org.mimosahinge.standin.backend;
