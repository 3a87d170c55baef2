/** Parsing and validation of the configuration document and of settings files. */
package org.mimosahinge.api.document;
