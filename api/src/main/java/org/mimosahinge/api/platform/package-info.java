/** Interfaces of the platform's table service and object store. */
package org.mimosahinge.api.platform;
