/** Client of the platform's table service and object store and the JSON of their messages. */
package org.mimosahinge.net.platform;
