package org.ebonyford.claim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.VmId;

/**
 * Which processes can no longer say what became of their claims.
 */
final class Holders {

	/**
	 * This process.
	 */
	private final Incarnation self;

	/**
	 * The number of the latest process that was seen on each VM.
	 */
	private final Map<VmId, Long> latest = new HashMap<>();

	/**
	 * The VMs that left the list and were not heard of since.
	 */
	private final Set<VmId> gone = new HashSet<>();

	/**
	 * Creates a view in which every process lives.
	 * @param self this process
	 */
	Holders(Incarnation self) {
		this.self = self;
		this.latest.put(self.vm(), self.number());
	}

	/**
	 * Notes that a process lives or lived.
	 * @param process the process
	 * @return whether this is news, so that an earlier process on the VM may have ended
	 */
	boolean seen(Incarnation process) {
		Long known = this.latest.get(process.vm());
		if (known != null && known >= process.number()) {
			return false;
		}
		this.latest.put(process.vm(), process.number());
		return true;
	}

	/**
	 * Notes that a process was heard of just now.
	 * @param process the process
	 * @return whether this is news, so that an earlier process on the VM may have ended
	 */
	boolean heard(Incarnation process) {
		this.gone.remove(process.vm());
		return seen(process);
	}

	/**
	 * Notes that a VM left the list.
	 * @param vm the VM
	 */
	void left(VmId vm) {
		if (!vm.equals(this.self.vm())) {
			this.gone.add(vm);
		}
	}

	/**
	 * Returns whether a process has ended as far as is known.
	 * @param process the process
	 * @return {@code true} if it has
	 */
	boolean ended(Incarnation process) {
		return this.gone.contains(process.vm())
				|| this.latest.getOrDefault(process.vm(), Long.MIN_VALUE) > process.number();
	}

}
