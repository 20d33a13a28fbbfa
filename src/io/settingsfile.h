#pragma once

#include "common/fields.h"
#include "io/commandline.h"

#include <fmt/format.h>

namespace cranberry {

/// Reads a settings file and parses it with `parse`. On an error, prints one line with the file and the field
/// to standard error, sets `exitCode` and returns nothing.
template <typename Settings>
std::optional<Settings> readSettings(const CommandLine &line, const std::string &file,
                                     Result<Settings> (*parse)(const std::string &text), int &exitCode)
{
    std::optional<std::string> text = readFile(file);
    if (!text) {
        exitCode = line.fail("can't read " + file);
        return std::nullopt;
    }
    std::string errorText;
    Settings settings;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(settings, parse(*text));
            return {};
        },
        [&](const FieldError &error) { errorText = toText(error); }, [&] { errorText = "can't be read"; });
    if (errorText.empty())
        return settings;
    exitCode = line.fail(file + ": " + errorText);
    return std::nullopt;
}

} // namespace cranberry
