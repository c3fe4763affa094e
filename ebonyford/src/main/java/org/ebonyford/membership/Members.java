package org.ebonyford.membership;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;

/**
 * Follows the list of VMs with the highest revision, whether it came from the platform or
 * from another router.
 */
public final class Members {

	/**
	 * The revision before any list came.
	 */
	public static final long NO_REVISION = -1;

	/**
	 * The list with the highest revision so far, {@code null} before the first one.
	 */
	private VmList list;

	/**
	 * The entries of that list by VM.
	 */
	private Map<VmId, VmEntry> entries = Map.of();

	/**
	 * Takes a list, unless one with the same or a higher revision came before.
	 * @param offered the list
	 * @return {@code true} if the list replaced the earlier one
	 */
	public boolean offered(VmList offered) {
		if (offered.revision() <= revision()) {
			return false;
		}
		this.list = offered;
		this.entries = offered.entries()
			.stream()
			.collect(Collectors.toMap(VmEntry::vm, Function.identity(), (first, second) -> first));
		return true;
	}

	/**
	 * Returns the list that is followed.
	 * @return the list, or empty if none came yet
	 */
	public Optional<VmList> list() {
		return Optional.ofNullable(this.list);
	}

	/**
	 * Returns the revision of the list that is followed.
	 * @return the revision, or {@link #NO_REVISION} if no list came yet
	 */
	public long revision() {
		return (this.list != null) ? this.list.revision() : NO_REVISION;
	}

	/**
	 * Returns the entry of a VM.
	 * @param vm the VM
	 * @return the entry, or empty if the VM is not listed
	 */
	public Optional<VmEntry> entry(VmId vm) {
		return Optional.ofNullable(this.entries.get(vm));
	}

	/**
	 * Returns whether a VM is listed and stays.
	 * @param vm the VM
	 * @return {@code true} if the VM is listed and not leaving
	 */
	public boolean live(VmId vm) {
		return entry(vm).filter((one) -> !one.leaving()).isPresent();
	}

	/**
	 * Returns whether the platform is about to take a VM away.
	 * @param vm the VM
	 * @return {@code true} if the VM is listed as leaving
	 */
	public boolean leaving(VmId vm) {
		return entry(vm).filter(VmEntry::leaving).isPresent();
	}

	/**
	 * Returns the data centre of a VM.
	 * @param vm the VM
	 * @return the data centre, or empty if the VM is not listed
	 */
	public Optional<DataCentreId> dataCentre(VmId vm) {
		return entry(vm).map(VmEntry::dataCentre);
	}

	/**
	 * Returns all VMs, live and leaving.
	 * @return the VMs in the order of their names
	 */
	public SortedSet<VmId> vms() {
		return new TreeSet<>(this.entries.keySet());
	}

	/**
	 * Returns the upstreams that the platform is about to take away.
	 * @return the upstreams
	 */
	public Set<UpstreamId> leavingUpstreams() {
		return list().stream()
			.flatMap((current) -> current.leavingUpstreams().stream())
			.map(UpstreamId::new)
			.collect(Collectors.toUnmodifiableSet());
	}

}
