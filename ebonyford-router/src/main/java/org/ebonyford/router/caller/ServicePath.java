package org.ebonyford.router.caller;

import java.util.Locale;
import java.util.regex.Pattern;

import org.ebonyford.identity.PoolId;

/**
 * The path of a call to a pool of plain services.
 *
 * @param pool the pool
 * @param path the path at the service, which is passed on as the caller wrote it
 */
public record ServicePath(PoolId pool, String path) {

	/**
	 * What paths of calls to services begin with.
	 */
	public static final String PREFIX = "/services/";

	/**
	 * The names that a pool may have in a path.
	 */
	private static final Pattern POOL = Pattern.compile("[A-Za-z0-9._~-]+");

	/**
	 * The characters of a path as RFC 3986 allows them, without path parameters, whose
	 * meaning differs between servers.
	 */
	private static final Pattern PATH = Pattern.compile("(?:[A-Za-z0-9._~!$&'()*+,=:@/-]|%[0-9A-Fa-f]{2})*");

	/**
	 * Escapes that servers may take for a slash, a backslash, a dot, a semicolon, a
	 * control character or another escape.
	 */
	private static final Pattern AMBIGUOUS = Pattern
		.compile("%(?:2f|5c|2e|3b|[01][0-9a-f]|7f|25(?:2f|5c|2e|3b|00|25))");

	/**
	 * Segments that are empty or lead to another directory.
	 */
	private static final Pattern RELATIVE = Pattern.compile("/(?:\\.{0,2}/|\\.{1,2}$)");

	/**
	 * Reads a path.
	 * @param raw the path as the caller wrote it, without the query
	 * @return the pool and the path at the service
	 * @throws RejectedException if servers could disagree on what the path means
	 */
	public static ServicePath parse(String raw) throws RejectedException {
		int slash = raw.indexOf('/', PREFIX.length());
		if (slash < 0) {
			throw new RejectedException(Rejection.NO_SUCH_PATH, "A call to a service needs /services/{pool}/{path}.");
		}
		String pool = raw.substring(PREFIX.length(), slash);
		String path = raw.substring(slash);
		if (!POOL.matcher(pool).matches() || !isUnambiguous(path)) {
			throw new RejectedException(Rejection.MALFORMED, "The path is ambiguous or not valid.");
		}
		return new ServicePath(new PoolId(pool), path);
	}

	private static boolean isUnambiguous(String path) {
		boolean valid = PATH.matcher(path).matches();
		boolean tricky = AMBIGUOUS.matcher(path.toLowerCase(Locale.ROOT)).find();
		return valid && !tricky && !RELATIVE.matcher(path).find();
	}

}
