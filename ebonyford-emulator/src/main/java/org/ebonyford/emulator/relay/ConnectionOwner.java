package org.ebonyford.emulator.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Tells which process opened a connection, by the tables of the kernel.
 */
@FunctionalInterface
public interface ConnectionOwner {

	/**
	 * Returns who opened a connection.
	 * @param from the local end of the connection at its opener
	 * @param to the remote end of the connection at its opener
	 * @return the name of the process, or empty if it is none of those known
	 */
	Optional<String> of(InetSocketAddress from, InetSocketAddress to);

	/**
	 * Looks processes up in the file system of the kernel.
	 *
	 * @param processes the names of the processes by their numbers, which may change
	 */
	record ForProcesses(Map<Long, String> processes) implements ConnectionOwner {

		/**
		 * The tables of TCP connections.
		 */
		private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));

		/**
		 * The column of the local end.
		 */
		private static final int LOCAL = 1;

		/**
		 * The column of the remote end.
		 */
		private static final int REMOTE = 2;

		/**
		 * The column of the inode.
		 */
		private static final int INODE = 9;

		@Override
		public Optional<String> of(InetSocketAddress from, InetSocketAddress to) {
			return inode(from.getPort(), to.getPort()).flatMap(this::holder);
		}

		private Optional<String> holder(String inode) {
			return this.processes.entrySet()
				.stream()
				.filter((process) -> holds(process.getKey(), "socket:[" + inode + "]"))
				.map(Map.Entry::getValue)
				.findFirst();
		}

		private static Optional<String> inode(int localPort, int remotePort) {
			String local = String.format(":%04X", localPort);
			String remote = String.format(":%04X", remotePort);
			return TABLES.stream()
				.flatMap(ForProcesses::lines)
				.filter((line) -> line.contains(local) && line.contains(remote))
				.map((line) -> line.trim().split("\\s+"))
				.filter((columns) -> columns[LOCAL].endsWith(local) && columns[REMOTE].endsWith(remote))
				.map((columns) -> columns[INODE])
				.filter((inode) -> !inode.equals("0"))
				.findFirst();
		}

		private static Stream<String> lines(Path table) {
			try {
				return Files.readAllLines(table).stream().skip(1);
			}
			catch (IOException ex) {
				return Stream.empty();
			}
		}

		private static boolean holds(long pid, String socket) {
			try (DirectoryStream<Path> files = Files.newDirectoryStream(Path.of("/proc", Long.toString(pid), "fd"))) {
				for (Path file : files) {
					if (target(file).equals(socket)) {
						return true;
					}
				}
				return false;
			}
			catch (IOException ex) {
				return false;
			}
		}

		private static String target(Path file) {
			try {
				return Files.readSymbolicLink(file).toString();
			}
			catch (IOException ex) {
				return "";
			}
		}

	}

}
