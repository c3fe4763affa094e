package org.ebonyford.router.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.VmId;

/**
 * The checked settings of one router.
 *
 * @param vm the VM of the router
 * @param dataCentre the data centre of the router
 * @param callers the interface for callers
 * @param operators the interface for operators and the platform's balancer
 * @param peers the interface between routers
 * @param operatorsSecret the secret that operators show
 * @param peersSecret the secret that all routers of the fleet share
 * @param values the values of all settings that have one
 */
public record RouterSettings(VmId vm, DataCentreId dataCentre, Listener callers, Listener operators, Listener peers,
		Secret operatorsSecret, Secret peersSecret, Map<Setting<?>, Object> values) {

	/**
	 * Creates settings.
	 */
	public RouterSettings {
		values = Map.copyOf(values);
	}

	/**
	 * Returns the value of a setting that must be there or has a standard value.
	 * @param setting the setting
	 * @param <T> the type of the value
	 * @return the value
	 */
	public <T> T value(Setting<T> setting) {
		return find(this.values, setting).orElseThrow();
	}

	/**
	 * Returns settings with another value of one setting.
	 * @param setting the setting
	 * @param value the value
	 * @param <T> the type of the value
	 * @return the changed settings
	 */
	public <T> RouterSettings withValue(Setting<T> setting, T value) {
		Map<Setting<?>, Object> changed = new HashMap<>(this.values);
		changed.put(setting, value);
		return new RouterSettings(this.vm, this.dataCentre, this.callers, this.operators, this.peers,
				this.operatorsSecret, this.peersSecret, changed);
	}

	/**
	 * Finds the value of a setting.
	 * @param values the values of settings
	 * @param setting the setting
	 * @param <T> the type of the value
	 * @return the value, or empty if there is none
	 */
	@SuppressWarnings("unchecked")
	static <T> Optional<T> find(Map<Setting<?>, Object> values, Setting<T> setting) {
		return Optional.ofNullable((T) values.get(setting));
	}

}
