// Requests at a daemon that was asked to stop.

#include "gateway/gateway.h"

namespace cranberry {

const char *toText(ExchangePhase phase)
{
    switch (phase) {
    case ExchangePhase::AwaitingStart:
        return "awaiting_start";
    case ExchangePhase::AwaitingOrigin:
        return "awaiting_origin";
    case ExchangePhase::AwaitingLimit:
        return "awaiting_limit";
    case ExchangePhase::Queued:
        return "queued";
    case ExchangePhase::Sent:
        return "sent";
    case ExchangePhase::Streaming:
        return "streaming";
    }
    return "";
}

boost::json::object Gateway::openByPhase() const
{
    std::map<ExchangePhase, int64_t> counts;
    for (const std::pair<const CallerId, Exchange> &entry : exchanges_)
        ++counts[entry.second.phase];
    boost::json::object out;
    for (const std::pair<const ExchangePhase, int64_t> &each : counts)
        out[toText(each.first)] = each.second;
    return out;
}

} // namespace cranberry
