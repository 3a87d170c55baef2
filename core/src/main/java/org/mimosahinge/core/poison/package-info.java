/** Detection of poison requests, which crash backend servers. */
package org.mimosahinge.core.poison;
