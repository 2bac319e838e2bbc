#include "lovage/core/text_diff.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace lovage {

namespace {

// Bounds the table of the longest common subsequence to 16 MB.
constexpr std::size_t k_max_cells = 4'000'000;

struct diff_line {
    char mark;
    std::string_view text;
    // Line number in the first text, from 1.
    std::size_t number;
};

std::vector<std::string_view> split_lines(std::string_view text) {
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const auto end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return lines;
}

// Returns the table of the lengths of the longest common subsequences of all pairs of suffixes, in row-major
// order.
std::vector<std::uint32_t> common_lengths(const std::vector<std::string_view>& a,
                                          const std::vector<std::string_view>& b) {
    const std::size_t width = b.size() + 1;
    std::vector<std::uint32_t> lengths((a.size() + 1) * width, 0);
    for (std::size_t i = a.size(); i-- > 0;) {
        for (std::size_t j = b.size(); j-- > 0;) {
            lengths[i * width + j] = a[i] == b[j]
                                         ? lengths[(i + 1) * width + j + 1] + 1
                                         : std::max(lengths[(i + 1) * width + j], lengths[i * width + j + 1]);
        }
    }
    return lengths;
}

void add_changes(std::vector<diff_line>& out, const std::vector<std::string_view>& a,
                 const std::vector<std::string_view>& b, std::size_t first_number) {
    const bool is_minimal = (a.size() + 1) * (b.size() + 1) <= k_max_cells;
    const std::size_t width = b.size() + 1;
    const auto lengths = is_minimal ? common_lengths(a, b) : std::vector<std::uint32_t>();
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() || j < b.size()) {
        if (is_minimal && i < a.size() && j < b.size() && a[i] == b[j]) {
            out.push_back({' ', a[i], first_number + i});
            ++i;
            ++j;
        } else if (i < a.size() && (j == b.size() || !is_minimal ||
                                    lengths[(i + 1) * width + j] >= lengths[i * width + j + 1])) {
            out.push_back({'-', a[i], first_number + i});
            ++i;
        } else {
            out.push_back({'+', b[j], first_number + i});
            ++j;
        }
    }
}

std::vector<diff_line> compare(const std::vector<std::string_view>& a,
                               const std::vector<std::string_view>& b) {
    const auto mismatch = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
    const auto prefix = static_cast<std::size_t>(mismatch.first - a.begin());
    std::size_t suffix = 0;
    while (suffix < a.size() - prefix && suffix < b.size() - prefix &&
           a[a.size() - 1 - suffix] == b[b.size() - 1 - suffix]) {
        ++suffix;
    }
    std::vector<diff_line> lines;
    for (std::size_t i = 0; i < prefix; ++i) {
        lines.push_back({' ', a[i], i + 1});
    }
    using offset = std::vector<std::string_view>::difference_type;
    const auto from = static_cast<offset>(prefix);
    const auto until = static_cast<offset>(suffix);
    add_changes(lines, {a.begin() + from, a.end() - until}, {b.begin() + from, b.end() - until}, prefix + 1);
    for (std::size_t i = a.size() - suffix; i < a.size(); ++i) {
        lines.push_back({' ', a[i], i + 1});
    }
    return lines;
}

} // namespace

std::string text_diff(const std::string& before, const std::string& after, std::size_t context) {
    const auto lines = compare(split_lines(before), split_lines(after));
    std::vector<bool> shown(lines.size(), false);
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (lines[i].mark != ' ') {
            const std::size_t first = i > context ? i - context : 0;
            const std::size_t last = std::min(lines.size() - 1, i + context);
            std::fill(shown.begin() + static_cast<std::ptrdiff_t>(first),
                      shown.begin() + static_cast<std::ptrdiff_t>(last) + 1, true);
        }
    }
    std::string text;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (!shown[i]) {
            continue;
        }
        if (i == 0 || !shown[i - 1]) {
            text += "@@ line " + std::to_string(lines[i].number) + " @@\n";
        }
        text += lines[i].mark;
        text.append(lines[i].text).append("\n");
    }
    return text;
}

} // namespace lovage
