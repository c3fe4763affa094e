package org.ebonyford.membership;

import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.VmId;

/**
 * One VM of the system on the platform's list.
 *
 * @param vm the name of the VM
 * @param dataCentre the data centre that it stands in
 * @param address the host and port of the routers' own interface
 * @param leaving whether the platform is about to take the VM away
 */
public record VmEntry(VmId vm, DataCentreId dataCentre, String address, boolean leaving) {

}
