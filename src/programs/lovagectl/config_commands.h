#pragma once

#include "command.h"

namespace lovage::ctl {

// Subcommands that work on the configuration in the store.
exit_code run_apply(const cli_options& options);
exit_code run_show(const cli_options& options);
exit_code run_diff(const cli_options& options);
exit_code run_validate(const cli_options& options);
exit_code run_history(const cli_options& options);
exit_code run_rollback(const cli_options& options);

} // namespace lovage::ctl
