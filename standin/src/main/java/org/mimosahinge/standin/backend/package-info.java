/** Stand-in of backend servers: HTTP servers that announce themselves and simulate faults on request. */
package org.mimosahinge.standin.backend;
