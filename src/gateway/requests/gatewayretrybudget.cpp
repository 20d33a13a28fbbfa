#include "gateway/requests/gatewayretrybudget.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Fraction of the budget that this daemon uses. The rest covers restarted daemons, which don't know what
/// they used before, and moments in which the daemons don't agree on how many of them share the slack.
constexpr double UsedFraction = 0.85;

} // namespace

GatewayRetryBudget::Slot &GatewayRetryBudget::slotAt(const ServiceName &service, TimeMs now)
{
    std::deque<Slot> &slots = slots_[service];
    const int64_t second = now.count / 1000;
    if (slots.empty() || slots.back().second != second)
        slots.push_back({second, 0, 0});
    while (slots.front().second + limits_.window.count / 1000 < second)
        slots.pop_front();
    return slots.back();
}

void GatewayRetryBudget::countRequest(const ServiceName &service, TimeMs now)
{
    ++slotAt(service, now).requests;
}

bool GatewayRetryBudget::take(const ServiceName &service, double slackShare, TimeMs now)
{
    if (!allows(service, slackShare, now))
        return false;
    ++slotAt(service, now).retries;
    return true;
}

bool GatewayRetryBudget::allows(const ServiceName &service, double slackShare, TimeMs now)
{
    slotAt(service, now);
    double requests = 0;
    double retries = 0;
    for (const Slot &slot : slots_[service]) {
        requests += slot.requests;
        retries += slot.retries;
    }
    return retries + 1 <= UsedFraction * (limits_.ratio * requests + limits_.slack * slackShare);
}

} // namespace cranberry
