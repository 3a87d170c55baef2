/** Stand-in of the platform: a table service and an object store in memory. */
package org.mimosahinge.standin.platform;
