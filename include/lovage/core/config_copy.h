#pragma once

#include "lovage/core/ids.h"

#include <string>

namespace lovage {

/// A copy of the stored configuration: the value of the store key `config/current` and its revision.
struct config_copy {
    config_revision revision = 0;
    std::string document;
};

} // namespace lovage
