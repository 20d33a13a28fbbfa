#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranberry {

/// One complete event of a text/event-stream.
struct StreamEvent {
    std::string text; ///< Includes the blank line that ends the event.
    std::optional<uint64_t> id;
    bool isComment = false; ///< Neither an id nor data: it tells the caller nothing.
};

/// Splits a byte stream into complete events. An incomplete event is never returned.
class EventSplitter
{
public:
    void append(std::string_view bytes) { buffer_.append(bytes); }
    std::optional<StreamEvent> next();
    bool hasPartialEvent() const { return !buffer_.empty(); }
    void clear() { buffer_.clear(); }

private:
    std::string buffer_;
};

} // namespace cranberry
