package org.ebonyford.reducer;

import java.util.List;
import java.util.Map;

/**
 * What a router tells operators about itself.
 *
 * @param vm the VM of the router
 * @param incarnation the number of the process on that VM
 * @param dataCentre the data centre of the router
 * @param ready whether the router takes requests
 * @param reason why it does not, empty if it does
 * @param controlVersion the version of the control state in force, or -1 if there is none
 * @param listRevision the revision of the VM list that is followed, or -1 if there is
 * none
 * @param dataCentresOut the data centres out of service in the router's view
 * @param vmsOut the VMs out of service in the router's view
 * @param upstreamsOut the upstreams out of service in the router's view
 * @param peers the routers that were heard lately
 * @param queued the requests that wait here
 * @param running the requests that run from here
 * @param claimsComplete whether the whole window of claims was read
 * @param limits the requests that each watched upstream may run
 */
public record RouterStatus(String vm, long incarnation, String dataCentre, boolean ready, String reason,
		long controlVersion, long listRevision, List<String> dataCentresOut, List<String> vmsOut,
		List<String> upstreamsOut, List<String> peers, int queued, int running, boolean claimsComplete,
		Map<String, Integer> limits) {

}
