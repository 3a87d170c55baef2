/** Requests that crash backend servers. */
package org.mimosahinge.core.poison;
