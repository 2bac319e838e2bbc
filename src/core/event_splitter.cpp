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

} // namespace

void split_events(event_splitter& splitter, std::string_view bytes,
                  const std::function<void(const stream_event&)>& on_event) {
    splitter.partial.append(bytes);
    std::size_t begin = 0;
    for (auto end = splitter.partial.find(k_event_end); end != std::string::npos;
         end = splitter.partial.find(k_event_end, begin)) {
        const auto next = end + k_event_end.size();
        const std::string_view text = std::string_view(splitter.partial).substr(begin, next - begin);
        on_event({text, find_id(text)});
        begin = next;
    }
    splitter.partial.erase(0, begin);
}

} // namespace lovage
