#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <string>

namespace lovage {

/// Body of a request that is read. Unlike Beast's string_body it does not reserve the announced length: the
/// session reserves what the memory budget allows, as bytes arrive.
struct budgeted_body {
    using value_type = std::string;

    class reader {
    public:
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& body) : m_body(body) {}

        void init(const boost::optional<std::uint64_t>& /*length*/, boost::system::error_code& failure) {
            failure = {};
        }
        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& failure) {
            failure = {};
            std::size_t size = 0;
            for (const auto part : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char*>(part.data()), part.size());
                size += part.size();
            }
            return size;
        }
        void finish(boost::system::error_code& failure) { failure = {}; }

    private:
        value_type& m_body;
    };
};

} // namespace lovage
