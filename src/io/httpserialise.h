#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <string>

namespace cranberry {

/// Appends the bytes of a buffer sequence.
template <typename Buffers>
void append(std::string &out, const Buffers &buffers)
{
    for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers))
        out.append(static_cast<const char *>(buffer.data()), buffer.size());
}

/// Serialises a complete message, or only its header, with Beast's serializer.
template <bool IsRequest, typename MessageBody>
std::string serialised(boost::beast::http::message<IsRequest, MessageBody> &message, bool headerOnly)
{
    std::string out;
    boost::beast::http::serializer<IsRequest, MessageBody> serializer(message);
    serializer.split(headerOnly);
    boost::beast::error_code code;
    while (!code && !(headerOnly ? serializer.is_header_done() : serializer.is_done())) {
        size_t used = 0;
        serializer.next(code, [&out, &used](boost::beast::error_code &, const auto &buffers) {
            append(out, buffers);
            used = boost::beast::buffer_bytes(buffers);
        });
        serializer.consume(used);
    }
    return out;
}

} // namespace cranberry
