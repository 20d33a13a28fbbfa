#pragma once

#include <boost/json.hpp>
#include <cstdint>

namespace cranberry {

/// How far lines may be thinned out under load.
enum class LogPriority : uint8_t {
    Ordinary, ///< Most of all.
    Failure, ///< Only in a storm of failures and refusals.
    Lost, ///< Last line of a request that an endpoint may have run and whose answer its caller lacks.
    State ///< Not at all, as long as the log has space.
};

/// Receives one structured line for each decision. Must not block.
class DecisionLog
{
public:
    virtual ~DecisionLog() = default;
    virtual void write(LogPriority weight, const char *event, boost::json::object fields) = 0;
};

} // namespace cranberry
