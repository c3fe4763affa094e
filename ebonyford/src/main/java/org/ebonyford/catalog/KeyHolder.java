package org.ebonyford.catalog;

import java.util.OptionalInt;

/**
 * The organisation that a key stands for.
 *
 * @param organisation the name of the organisation
 * @param priority the rank that goes before that of the route, if the organisation has
 * one
 */
public record KeyHolder(String organisation, OptionalInt priority) {
}
