#include "gateway/requests/streamend.h"

#include <array>
#include <cstddef>

namespace cranberry {

namespace {

constexpr std::array EndNames = {"stated", "closed", "broken"};

} // namespace

const char *toText(StreamEnd end)
{
    return EndNames.at(static_cast<size_t>(end));
}

} // namespace cranberry
