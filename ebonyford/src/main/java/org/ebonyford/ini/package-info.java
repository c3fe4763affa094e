/**
 * INI files whose sections and keys remember their lines, so that findings can name the
 * place of a fault.
 */
package org.ebonyford.ini;
