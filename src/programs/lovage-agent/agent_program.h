#pragma once

namespace lovage {

/// Runs the agent until SIGTERM: reads the settings, creates all parts and starts them. Returns the exit
/// code.
int run_agent_program(int argc, const char** argv);

} // namespace lovage
