#pragma once

#include <cstddef>
#include <string>

namespace lovage {

/// Returns a line diff of two texts; empty if they are equal. Each section starts with "@@ line N @@" (a line
/// number of `before`), followed by lines that start with "-" (only in `before`), "+" (only in `after`) or a
/// space (unchanged, up to `context` lines around changes). If too many lines differ to compute a minimal
/// diff, all lines between the common start and end are shown as removed and added.
std::string text_diff(const std::string& before, const std::string& after, std::size_t context = 2);

} // namespace lovage
