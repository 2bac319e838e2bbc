#include "lovage/core/event_splitter.h"

namespace lovage {

namespace {

constexpr std::string_view k_event_end = "\n\n";
constexpr std::string_view k_id_field = "id:";

std::string_view find_id(std::string_view event) {
    std::size_t begin = 0;
    while (begin < event.size()) {
        const auto end = event.find('\n', begin);
        std::string_view line = event.substr(begin, end - begin);
        if (line.substr(0, k_id_field.size()) == k_id_field) {
            line.remove_prefix(k_id_field.size());
            if (!line.empty() && line.front() == ' ') {
                line.remove_prefix(1);
            }
            if (!line.empty() && line.back() == '\r') {
                line.remove_suffix(1);
            }
            return line;
        }
        if (end == std::string_view::npos) {
            break;
        }
        begin = end + 1;
    }
    return {};
}

bool is_comment(std::string_view event) {
    std::size_t begin = 0;
    while (begin < event.size()) {
        const bool is_comment_line = event[begin] == ':' || event[begin] == '\n';
        const auto end = event.find('\n', begin);
        if (!is_comment_line) {
            return false;
        }
        begin = end == std::string_view::npos ? event.size() : end + 1;
    }
    return true;
}

} // namespace

bool split_events(event_splitter& splitter, std::string_view bytes,
                  const std::function<void(const stream_event&)>& on_event) {
    auto& partial = splitter.partial;
    partial.append(bytes);
    std::size_t begin = 0;
    for (auto end = partial.find(k_event_end, splitter.searched); end != std::string::npos;
         end = partial.find(k_event_end, begin)) {
        const auto next = end + k_event_end.size();
        const std::string_view text = std::string_view(partial).substr(begin, next - begin);
        on_event({text, find_id(text), is_comment(text)});
        begin = next;
    }
    partial.erase(0, begin);
    // The first byte of an end of event may be the last one received.
    splitter.searched = partial.empty() ? 0 : partial.size() - 1;
    return partial.size() <= k_max_event_bytes;
}

} // namespace lovage
