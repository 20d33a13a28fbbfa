#include "gateway/peers/datagramfields.h"

#include <cmath>

namespace json = boost::json;

namespace cranberry {

namespace {

/// From this value on, numbers are sent without their fraction.
constexpr double IntegerThreshold = 1000;

} // namespace

json::value compact(double figure)
{
    if (std::abs(figure) >= IntegerThreshold)
        return static_cast<int64_t>(figure);
    return std::floor(figure * 100) / 100;
}

std::string text(const json::value &value)
{
    return std::string(value.as_string());
}

const json::array &row(const json::value &value, size_t size)
{
    const json::array &out = value.as_array();
    if (out.size() < size)
        throw boost::system::system_error(json::make_error_code(json::error::incomplete));
    return out;
}

} // namespace cranberry
