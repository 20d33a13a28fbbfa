#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranberry {

/// One whole event of a text/event-stream.
struct StreamEvent {
    std::string text; ///< With its blank line.
    std::optional<uint64_t> id;
};

/// Cuts a stream of bytes into whole events. What an endpoint left unfinished is never handed on.
class EventSplitter
{
public:
    void append(std::string_view bytes) { buffer_.append(bytes); }
    std::optional<StreamEvent> next();
    bool holdsPartial() const { return !buffer_.empty(); }
    void clear() { buffer_.clear(); }

private:
    std::string buffer_;
};

} // namespace cranberry
