/** Client of the platform's table service and object store, and the JSON encoding of their messages. */
package org.mimosahinge.net.platform;
