#pragma once

#include "cli_options.h"
#include "exit_code.h"

namespace lovage::ctl {

/// Prints where the request in a file would be sent now. Exits with `not_accepted` if it would be refused.
exit_code run_where(const cli_options& options);

} // namespace lovage::ctl
