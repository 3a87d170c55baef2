/** Contents of the configuration document: sections of teams with their services, routes and limits. */
package org.mimosahinge.api.contract;
