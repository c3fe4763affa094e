package org.ebonyford.router.command;

import java.net.URI;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;

import org.ebonyford.router.RouterLauncher;
import org.ebonyford.router.log.LogClient;
import org.ebonyford.router.settings.RouterSettingsReader;

/**
 * What commands work with.
 *
 * @param files reads files
 * @param settings reads and checks the settings of a router
 * @param variables looks up environment variables
 * @param logs makes clients of a log service from its address
 * @param fetcher reads documents over HTTP
 * @param launcher runs a router
 * @param user the name of the operator where none is given
 * @param names gives each record a name of its own
 * @param pause waits before a record is appended again
 */
public record CommandEnvironment(TextFiles files, RouterSettingsReader settings,
		Function<String, Optional<String>> variables, Function<URI, LogClient> logs, Fetcher fetcher,
		RouterLauncher launcher, String user, Supplier<String> names, Runnable pause) {

}
