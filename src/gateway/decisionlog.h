#pragma once

#include <boost/json.hpp>
#include <cstdint>

namespace cranberry {

/// Ordinary lines may be dropped under load; the others are kept as long as the log has space.
enum class LogPriority : uint8_t { Ordinary, Failure, State };

/// Receives one structured line for each decision. Must not block.
class DecisionLog
{
public:
    virtual ~DecisionLog() = default;
    virtual void write(LogPriority weight, const char *event, boost::json::object fields) = 0;
};

} // namespace cranberry
