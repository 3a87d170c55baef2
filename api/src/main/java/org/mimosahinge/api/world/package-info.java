/** Machines, zones and links of a deployment and what runs on them. */
package org.mimosahinge.api.world;
