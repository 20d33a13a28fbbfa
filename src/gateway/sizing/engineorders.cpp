#include "gateway/sizing/engineorders.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Confirmed orders are resent at this interval, since the receiver may have lost them.
constexpr DurationMs ResendInterval{10000};
/// Resend interval while there are more engines than ordered. The platform starts on-demand engines by itself
/// where a domain falls below its minimum, and keeps them running, at several times the price of reclaimable
/// ones.
constexpr DurationMs CorrectionInterval{1000};
/// A call without a reply is repeated after the sum of these.
constexpr DurationMs CallTimeout{1500};
constexpr DurationMs RetryPause{700};
/// Delay before an order is retried after the reply "none available".
constexpr DurationMs ShortageRetryPause{1500};
/// Time after the last such reply during which the domain counts as short of reclaimable engines.
constexpr DurationMs ShortageDuration{4000};

} // namespace

void EngineOrders::clear()
{
    ordered_.clear();
    openCalls_.clear();
}

uint32_t EngineOrders::hold(const OrderKey &subject, uint32_t wanted, uint32_t existing, DurationMs holdTime,
                            DurationMs bootDelay, TimeMs now)
{
    return ordered_[subject].hold.update(wanted, existing, holdTime, bootDelay, now);
}

void EngineOrders::send(const OrderKey &subject, uint32_t count, uint32_t existing,
                        const Leadership &leadership, TimeMs now)
{
    OrderState &ordered = ordered_[subject];
    if (now < ordered.nextAt)
        return;
    const DurationMs interval = existing > count ? CorrectionInterval : ResendInterval;
    if (ordered.confirmed && ordered.count == count && now < ordered.nextAt + interval)
        return;
    const uint32_t before = ordered.count.value_or(0);
    if (before != count)
        log_.write(LogPriority::State, "engines_ordered",
                   {{"service", subject.service.value},
                    {"failure_domain", subject.failureDomain.value},
                    {"reclaimable", subject.reclaimable},
                    {"count", count},
                    {"before", before}});
    ordered.count = count;
    ordered.existing = existing;
    ordered.confirmed = false;
    ordered.nextAt = now + CallTimeout + RetryPause;
    LeaderCall call;
    call.id = nextCall_++;
    call.fencingToken = leadership.fencingToken;
    call.timeout = std::min(CallTimeout, leadership.validUntil - now);
    call.order = EngineOrder{subject.service, subject.failureDomain, count, subject.reclaimable};
    openCalls_[call.id] = subject;
    calls_.push_back(std::move(call));
}

void EngineOrders::resendReclaimable(const ServiceName &service)
{
    for (std::pair<const OrderKey, OrderState> &entry : ordered_) {
        if (entry.first.service == service && entry.first.reclaimable)
            entry.second.confirmed = false;
    }
}

bool EngineOrders::isShort(const OrderKey &subject, TimeMs now) const
{
    const auto found = ordered_.find(subject);
    return found != ordered_.end() && now < found->second.shortUntil;
}

std::optional<uint32_t> EngineOrders::ordered(const OrderKey &subject) const
{
    const auto found = ordered_.find(subject);
    return found == ordered_.end() ? std::nullopt : found->second.count;
}

bool EngineOrders::isConfirmed(const OrderKey &subject) const
{
    const auto found = ordered_.find(subject);
    return found != ordered_.end() && found->second.confirmed;
}

void EngineOrders::onReply(uint64_t id, LeaderCallOutcome outcome, TimeMs now)
{
    const auto found = openCalls_.find(id);
    if (found == openCalls_.end())
        return;
    OrderState &ordered = ordered_[found->second];
    ordered.confirmed = outcome == LeaderCallOutcome::Done;
    ordered.nextAt = now + (ordered.confirmed ? DurationMs{0} : RetryPause);
    if (ordered.confirmed)
        ordered.hold.onAccepted(*ordered.count, ordered.count > ordered.existing, now);
    if (outcome == LeaderCallOutcome::NoneAvailable) {
        ordered.hold.onRefused();
        ordered.shortUntil = now + ShortageDuration;
        ordered.nextAt = now + ShortageRetryPause;
        log_.write(LogPriority::State, "engines_unavailable",
                   {{"service", found->second.service.value},
                    {"failure_domain", found->second.failureDomain.value}});
    }
    openCalls_.erase(found);
}

} // namespace cranberry
