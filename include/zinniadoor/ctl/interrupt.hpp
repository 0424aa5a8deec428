#pragma once

namespace zinniadoor::ctl {

/// Installs a handler for SIGINT: the first Ctrl-C ends waits cleanly, so that a command can still
/// report what took effect; the second one kills the process.
void installInterruptHandler();

/// Whether SIGINT was received.
bool isInterrupted();

} // namespace zinniadoor::ctl
