package org.ebonyford.directory;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Orders names for a key so that whoever knows the same names finds the same order, and
 * the coming and going of a name moves no other.
 */
public final class Rendezvous {

	/**
	 * The multipliers of the finalizer of SplitMix64, which spreads each bit over all.
	 */
	private static final long[] MIX = { 0xbf58476d1ce4e5b9L, 0x94d049bb133111ebL };

	/**
	 * The prime of the 64-bit FNV-1a hash.
	 */
	private static final long FNV_PRIME = 0x100000001b3L;

	/**
	 * The offset basis of the 64-bit FNV-1a hash.
	 */
	private static final long FNV_BASIS = 0xcbf29ce484222325L;

	private Rendezvous() {
	}

	/**
	 * Returns a hash that is the same in every process.
	 * @param text the text
	 * @return the hash, spread over all bits
	 */
	public static long hash(String text) {
		long hash = FNV_BASIS;
		for (int index = 0; index < text.length(); index++) {
			hash = (hash ^ text.charAt(index)) * FNV_PRIME;
		}
		return spread(hash);
	}

	/**
	 * Combines the hashes of a key and a name.
	 * @param key the hash of the key
	 * @param name the hash of the name
	 * @return the weight of the name for the key; the greatest comes first
	 */
	public static long weight(long key, long name) {
		return spread(key * MIX[0] + name);
	}

	/**
	 * Orders names for a key.
	 * @param key the key
	 * @param names the names
	 * @return the names, the first choice first
	 */
	public static List<String> order(String key, Collection<String> names) {
		long hash = hash(key);
		return names.stream()
			.sorted(Comparator.comparingLong((String name) -> weight(hash, hash(name))).reversed())
			.toList();
	}

	private static long spread(long value) {
		long mixed = (value ^ (value >>> 30)) * MIX[0];
		mixed = (mixed ^ (mixed >>> 27)) * MIX[1];
		return mixed ^ (mixed >>> 31);
	}

}
