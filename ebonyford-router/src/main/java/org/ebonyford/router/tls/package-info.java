/**
 * Certificates and keys out of files in PEM form.
 */
package org.ebonyford.router.tls;
