#pragma once

#include <memory>
#include <string>

namespace cranberry {

/// The body of a message: immutable, and shared by all copies, so that a large one exists once from its
/// arrival to its last attempt.
class Body
{
public:
    Body() = default;
    Body(std::string text)
        : text_(text.empty() ? nullptr : std::make_shared<const std::string>(std::move(text)))
    { }
    Body(const char *text) : Body(std::string(text)) { }
    explicit Body(std::shared_ptr<const std::string> text) : text_(std::move(text)) { }

    const std::string &text() const
    {
        static const std::string empty;
        return text_ ? *text_ : empty;
    }
    operator const std::string &() const { return text(); }
    size_t size() const { return text().size(); }
    bool empty() const { return text().empty(); }

    friend bool operator==(const Body &a, const Body &b) { return a.text() == b.text(); }

private:
    std::shared_ptr<const std::string> text_; ///< Null: empty.
};

} // namespace cranberry
