#pragma once

#include "command.h"

namespace lovage::ctl {

// Subcommands that send a request to an entry: to the first of the given entries that can be reached.
exit_code run_status(const cli_options& options);
exit_code run_report(const cli_options& options);
exit_code run_drain(const cli_options& options);
exit_code run_explain(const cli_options& options);

} // namespace lovage::ctl
