package org.ebonyford.stream;

/**
 * Which software version of an upstream began a stream.
 *
 * @param service the hash of the service
 * @param request the hash of the request whose answer began the stream
 * @param version the hash of the version
 */
public record StreamOrigin(long service, long request, long version) {
}
