#pragma once

#include <cstdint>

namespace cranberry {

/// How the bytes of one attempt's event stream ended.
enum class StreamEnd : uint8_t {
    Stated, ///< By the last chunk or the length: the endpoint says that the stream is complete.
    Closed, ///< After a complete event, by a close of the connection that is the response's only end.
    Broken ///< Inside an event, before the end that the framing asks for, or by a reset.
};

const char *toText(StreamEnd end);

} // namespace cranberry
