#include "gateway/requests/gatewayretrybudget.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Part of a share that is kept for retries without which accepted work is lost.
constexpr double ReservedForWork = 0.25;
/// A daemon that was paused for longer may have been taken for gone, and its share given to others.
constexpr DurationMs MaxPause{3000};

/// Returns whether the caller would lose work that an endpoint has begun, or that only this retry saves. The
/// other retries spare the caller one of its own.
bool savesWork(GatewayRetry reason)
{
    return reason == GatewayRetry::StreamResumed || reason == GatewayRetry::Moved
        || reason == GatewayRetry::Broken;
}

} // namespace

GatewayRetryBudget::Slot &GatewayRetryBudget::slotAt(Account &account, TimeMs now) const
{
    std::deque<Slot> &slots = account.slots;
    const int64_t second = now.count / 1000;
    if (slots.empty() || slots.back().second != second)
        slots.push_back({second, 0, 0, 0, {}});
    while (slots.front().second + limits_.window.count / 1000 < second)
        slots.pop_front();
    return slots.back();
}

void GatewayRetryBudget::countRequest(const ServiceName &service, TimeMs now)
{
    ++slotAt(accounts_[service], now).requests;
}

uint32_t GatewayRetryBudget::ownRequests(const Account &account) const
{
    uint32_t requests = 0;
    for (const Slot &slot : account.slots)
        requests += slot.requests;
    return requests;
}

std::map<ServiceName, uint32_t> GatewayRetryBudget::requests(TimeMs now)
{
    std::map<ServiceName, uint32_t> out;
    for (std::pair<const ServiceName, Account> &each : accounts_) {
        slotAt(each.second, now);
        if (const uint32_t requests = ownRequests(each.second); requests > 0)
            out[each.first] = requests;
    }
    return out;
}

void GatewayRetryBudget::update(const RetrySharers &sharers,
                                const std::map<ServiceName, uint64_t> &requestsOfOthers, TimeMs now)
{
    if (!startedAt_)
        startedAt_ = now;
    const bool wasPaused = now - updatedAt_ > MaxPause;
    updatedAt_ = now;
    if (!sharers.isSharer)
        sharesSince_.reset();
    else if (!sharesSince_ || wasPaused)
        sharesSince_ = now;
    // Before any daemon serves, all are taken for sharers; none of them has been there for a window then.
    if (sharers.knowsServing || now - *startedAt_ >= limits_.window) {
        while (!sharerCounts_.empty() && sharerCounts_.back().second <= sharers.count)
            sharerCounts_.pop_back();
        sharerCounts_.emplace_back(now, sharers.count);
    }
    while (!sharerCounts_.empty() && now - sharerCounts_.front().first > limits_.window)
        sharerCounts_.pop_front();
    const int64_t second = now.count / 1000;
    for (const std::pair<const ServiceName, uint64_t> &each : requestsOfOthers)
        accounts_[each.first];
    for (std::pair<const ServiceName, Account> &each : accounts_) {
        Account &account = each.second;
        slotAt(account, now);
        const auto others = requestsOfOthers.find(each.first);
        const uint64_t total = ownRequests(account) + (others == requestsOfOthers.end() ? 0 : others->second);
        if (account.totals.empty() || account.totals.back().first != second)
            account.totals.emplace_back(second, total);
        account.totals.back().second = std::max(account.totals.back().second, total);
        while (account.totals.front().first + limits_.window.count / 2000 < second)
            account.totals.pop_front();
    }
}

// Reports of daemons that were killed are missing for a while, though their requests still count.
uint64_t GatewayRetryBudget::totalRequests(const Account &account)
{
    uint64_t most = 0;
    for (const std::pair<int64_t, uint64_t> &each : account.totals)
        most = std::max(most, each.second);
    return most;
}

bool GatewayRetryBudget::hasShare(TimeMs now) const
{
    return sharesSince_ && !sharerCounts_.empty() && now - *sharesSince_ >= limits_.window
        && now - updatedAt_ <= MaxPause;
}

double GatewayRetryBudget::share(const Account &account, TimeMs now) const
{
    if (!hasShare(now))
        return 0;
    const double all = limits_.ratio * static_cast<double>(totalRequests(account)) + limits_.slack;
    return SharedFraction * all / static_cast<double>(std::max<size_t>(sharerCounts_.front().second, 1));
}

bool GatewayRetryBudget::allows(const ServiceName &service, GatewayRetry reason, TimeMs now)
{
    Account &account = accounts_[service];
    slotAt(account, now);
    while (!account.drawn.empty() && (account.drawn.front().until < now || account.drawn.front().count == 0))
        account.drawn.pop_front();
    if (!account.drawn.empty())
        return true;
    double used = 0;
    for (const Slot &slot : account.slots)
        used += slot.ofShare;
    return used + 1 <= (savesWork(reason) ? 1 : 1 - ReservedForWork) * share(account, now);
}

bool GatewayRetryBudget::take(const ServiceName &service, GatewayRetry reason, TimeMs now)
{
    if (!allows(service, reason, now))
        return false;
    Account &account = accounts_[service];
    Slot &slot = slotAt(account, now);
    ++slot.reasons[reason];
    if (account.drawn.empty()) {
        ++slot.ofShare;
    } else {
        --account.drawn.front().count;
        ++slot.drawn;
    }
    return true;
}

void GatewayRetryBudget::addDrawn(const ServiceName &service, uint32_t units, TimeMs until)
{
    accounts_[service].drawn.push_back({units, until});
}

GatewayRetryBudget::Use GatewayRetryBudget::use(const ServiceName &service, TimeMs now)
{
    Use out;
    Account &account = accounts_[service];
    slotAt(account, now);
    out.requests = totalRequests(account);
    out.sharers = sharerCounts_.empty() ? 0 : sharerCounts_.front().second;
    out.share = share(account, now);
    for (const Slot &slot : account.slots) {
        out.ofShare += slot.ofShare;
        out.drawn += slot.drawn;
        if (slot.second + 1 == now.count / 1000)
            out.inSecond = slot.reasons;
    }
    return out;
}

std::vector<ServiceName> GatewayRetryBudget::activeServices(TimeMs now) const
{
    std::vector<ServiceName> out;
    for (const std::pair<const ServiceName, Account> &each : accounts_) {
        const bool isActive
            = std::any_of(each.second.slots.begin(), each.second.slots.end(), [now](const Slot &slot) {
                  return slot.second + 1 == now.count / 1000 && !slot.reasons.empty();
              });
        if (isActive)
            out.push_back(each.first);
    }
    return out;
}

} // namespace cranberry
