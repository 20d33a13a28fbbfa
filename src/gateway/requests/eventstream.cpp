#include "gateway/requests/eventstream.h"

#include <charconv>

namespace cranberry {

namespace {

constexpr std::string_view IdField = "id:";

std::optional<uint64_t> idOf(std::string_view event)
{
    size_t start = 0;
    while (start < event.size()) {
        size_t end = event.find('\n', start);
        if (end == std::string_view::npos)
            end = event.size();
        std::string_view line = event.substr(start, end - start);
        if (line.starts_with(IdField)) {
            line.remove_prefix(IdField.size());
            while (line.starts_with(' '))
                line.remove_prefix(1);
            uint64_t id = 0;
            if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc())
                return id;
            return std::nullopt;
        }
        start = end + 1;
    }
    return std::nullopt;
}

bool hasDataField(std::string_view event)
{
    constexpr std::string_view LaterField = "\ndata";
    return event.starts_with(LaterField.substr(1)) || event.find(LaterField) != std::string_view::npos;
}

// Returns the position after the blank line that ends the first event. Lines may end in LF or CRLF.
size_t endOfEvent(const std::string &buffer)
{
    const size_t plain = buffer.find("\n\n");
    const size_t carriage = buffer.find("\n\r\n");
    if (plain == std::string::npos && carriage == std::string::npos)
        return std::string::npos;
    return plain < carriage ? plain + 2 : carriage + 3;
}

} // namespace

std::optional<StreamEvent> EventSplitter::next()
{
    const size_t end = endOfEvent(buffer_);
    if (end == std::string::npos)
        return std::nullopt;
    StreamEvent event;
    event.text = buffer_.substr(0, end);
    event.id = idOf(event.text);
    event.isComment = !event.id && !hasDataField(event.text);
    buffer_.erase(0, end);
    return event;
}

} // namespace cranberry
