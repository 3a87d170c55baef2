/** The daemon process that runs on every backend server VM. */
package org.mimosahinge.daemon;
