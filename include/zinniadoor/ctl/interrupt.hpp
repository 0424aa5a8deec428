#pragma once

namespace zinniadoor::ctl {

/// Makes the first Ctrl-C end waits in order, so that a command can say what took effect; the
/// second one ends the process at once.
void catchInterrupt();

/// Whether Ctrl-C was pressed.
bool isInterrupted();

} // namespace zinniadoor::ctl
