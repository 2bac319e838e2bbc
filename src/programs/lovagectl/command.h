#pragma once

#include "cli_options.h"
#include "exit_code.h"

#include <vector>

namespace lovage::ctl {

/// One subcommand.
struct command {
    const char* name;
    const char* help;
    std::vector<option> required;
    std::vector<option> allowed;
    exit_code (*run)(const cli_options&);
};

/// Prints an error to standard error and returns the exit code for its kind.
exit_code report_error(const error& failure);

} // namespace lovage::ctl
