#pragma once

#include "lovage/core/result.h"

#include <string>

namespace lovage::ctl {

/// Reads a whole file, or standard input for "-". Fails with `invalid_request` if it cannot be read or is
/// empty.
result<std::string> read_file(const std::string& path);

} // namespace lovage::ctl
