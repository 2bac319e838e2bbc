#pragma once

#include "support/scripted_server.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lovage::testing {

/// The part of an answer in which its server stops.
enum class answer_cut : std::uint8_t { nowhere, head, body };

/// What a server in trouble sends as an answer before it closes the connection.
struct cut_answer {
    const char* name;
    std::string bytes;
    answer_cut cut;
    /// The body of a whole answer.
    std::string body;
    /// The connection is reset instead of closed.
    bool is_reset = false;
};

inline std::vector<cut_answer> cut_answers() {
    constexpr auto k_head = answer_cut::head;
    constexpr auto k_body = answer_cut::body;
    constexpr auto k_nowhere = answer_cut::nowhere;
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunks = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string informational = "HTTP/1.1 100 Continue\r\n\r\n";
    return {
        {"nothing", "", k_head, ""},
        {"half a status line", "HTTP/1.1 20", k_head, ""},
        {"a status line without its end", "HTTP/1.1 200 OK", k_head, ""},
        {"a status line", ok, k_head, ""},
        {"half a name of a field", ok + "Content-Ty", k_head, ""},
        {"half a field", ok + "Content-Type: appli", k_head, ""},
        {"a field without the blank line", ok + "Content-Type: text/plain\r\n", k_head, ""},
        {"a cut length", ok + "Content-Length: 1", k_head, ""},
        {"a length without the blank line", ok + "Content-Length: 5\r\n", k_head, ""},
        {"a cut blank line", ok + "Content-Length: 0\r\n\r", k_head, ""},
        {"an informational head only", informational, k_head, ""},
        {"a cut head after an informational one", informational + ok, k_head, ""},
        {"no HTTP", "whole\r\n\r\n", k_head, ""},
        {"a cut body of known length", ok + "Content-Length: 9\r\n\r\nwhole", k_body, ""},
        {"cut chunks", chunks + "5\r\nwhole\r\n", k_body, ""},
        {"a cut chunk", chunks + "9\r\nwhole", k_body, ""},
        {"neither length nor chunks, reset", ok + "\r\nwho", k_body, "", true},
        {"a whole head after an informational one", informational + ok + "Content-Length: 5\r\n\r\nwhole",
         k_nowhere, "whole"},
        {"chunks", chunks + "5\r\nwhole\r\n0\r\n\r\n", k_nowhere, "whole"},
        {"a known length", ok + "Content-Length: 5\r\n\r\nwhole", k_nowhere, "whole"},
        {"neither length nor chunks", ok + "\r\nwhole", k_nowhere, "whole"},
        {"neither length nor chunks, empty", ok + "\r\n", k_nowhere, ""},
        {"no body", "HTTP/1.1 204 No Content\r\n\r\n", k_nowhere, ""},
    };
}

/// Returns a server that sends the answer on each of its first connections.
inline scripted_server make_cut_server(const cut_answer& answer) {
    constexpr std::size_t k_connections = 8;
    return scripted_server(std::vector<scripted_connection>(
        k_connections, scripted_connection{{answer.bytes}, false, answer.is_reset}));
}

} // namespace lovage::testing
