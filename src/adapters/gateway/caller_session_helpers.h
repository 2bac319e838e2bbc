#pragma once

#include <cstddef>
#include <string>

namespace lovage {

/// Sizes of the kernel's buffers, which otherwise grow to several MB per connection. They carry 500 Mbit/s
/// over a path of 1 ms. The kernel doubles them for its own bookkeeping.
inline constexpr int k_socket_buffer = 65'536;

/// Size of the first read of a request, in bytes. Most heads fit into it, and an idle connection holds such a
/// buffer.
inline constexpr std::size_t k_first_read_block = 4'096;

/// Frees the memory of `buffer`, which clearing it would keep.
inline void free_storage(std::string& buffer) {
    std::string().swap(buffer);
}

} // namespace lovage
