package org.ebonyford.directory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The routers that have announced themselves, and when each was last heard. A router that
 * has been silent for long counts as gone; until then it counts among those by whose
 * number the limits of the fleet are divided, since it may only be cut off.
 */
public final class RouterRoster {

	/**
	 * How long in milliseconds a silent router counts as alive: several times the longest
	 * partition of a single VM that is usual.
	 */
	public static final long GONE_MILLIS = 60_000;

	/**
	 * How long in milliseconds a router that has withdrawn counts among those by whose
	 * number the limits of the fleet are divided: it serves on while it stops, and what
	 * it sent counts for a window of repeats after that.
	 */
	public static final long LEAVING_MILLIS = 20_000;

	/**
	 * The name of this router.
	 */
	private final String self;

	/**
	 * The routers by name.
	 */
	private final Map<String, Member> members = new HashMap<>();

	/**
	 * Until when each router that has withdrawn counts, in milliseconds.
	 */
	private final Map<String, Long> leavingUntil = new HashMap<>();

	/**
	 * Creates a roster that holds this router only.
	 * @param self the name of this router
	 */
	public RouterRoster(String self) {
		this.self = self;
	}

	/**
	 * Notes the announcement of a router.
	 * @param member the router
	 */
	public void announced(Member member) {
		if (!member.name().equals(this.self)) {
			this.leavingUntil.remove(member.name());
			this.members.put(member.name(), member);
		}
	}

	/**
	 * Notes that a router has withdrawn its announcement.
	 * @param name the name of the router
	 * @param now the time in milliseconds
	 */
	public void withdrawn(String name, long now) {
		if (this.members.remove(name) != null) {
			this.leavingUntil.put(name, now + LEAVING_MILLIS);
		}
	}

	/**
	 * Notes a message from a router.
	 * @param name the name of the router
	 * @param now the time in milliseconds
	 */
	public void heard(String name, long now) {
		this.members.computeIfPresent(name, (key, member) -> new Member(name, member.dataCentre(), member.host(),
				member.port(), member.relayPort(), now));
	}

	/**
	 * Returns the other routers that may be alive.
	 * @param now the time in milliseconds
	 * @return the routers that were heard or announced recently
	 */
	public List<Member> peers(long now) {
		return this.members.values().stream().filter((member) -> now - member.heardAt() < GONE_MILLIS).toList();
	}

	/**
	 * Returns the other routers that may be alive in other data centres, or all others if
	 * there are none elsewhere.
	 * @param dataCentre the data centre of this router
	 * @param now the time in milliseconds
	 * @return the routers
	 */
	public List<Member> elsewhere(String dataCentre, long now) {
		List<Member> peers = peers(now);
		List<Member> others = peers.stream().filter((member) -> !member.dataCentre().equals(dataCentre)).toList();
		return others.isEmpty() ? peers : others;
	}

	/**
	 * Returns the names of all routers that may be alive or have withdrawn lately, this
	 * one first.
	 * @param now the time in milliseconds
	 * @return the names
	 */
	public List<String> names(long now) {
		List<String> names = new ArrayList<>(List.of(this.self));
		peers(now).forEach((member) -> names.add(member.name()));
		this.leavingUntil.values().removeIf((until) -> until <= now);
		names.addAll(this.leavingUntil.keySet());
		return names;
	}

	/**
	 * Returns when each router that may be alive or has withdrawn lately was last heard.
	 * @param now the time in milliseconds
	 * @return the times in milliseconds by name, with this router; for one that has
	 * withdrawn, the time at which that was noted
	 */
	public Map<String, Long> lastHeard(long now) {
		Map<String, Long> heard = new HashMap<>();
		this.leavingUntil.forEach((name, until) -> {
			if (until > now) {
				heard.put(name, until - LEAVING_MILLIS);
			}
		});
		peers(now).forEach((member) -> heard.put(member.name(), member.heardAt()));
		heard.put(this.self, now);
		return heard;
	}

	/**
	 * A router.
	 *
	 * @param name the name of the router
	 * @param dataCentre the data centre of the router, empty if it does not tell
	 * @param host the IP address at which its peers reach it
	 * @param port the port at which its peers reach it
	 * @param relayPort the port at which it lets peers read what it knows of the store
	 * @param heardAt when it was last heard, in milliseconds
	 */
	public record Member(String name, String dataCentre, String host, int port, int relayPort, long heardAt) {
	}

}
