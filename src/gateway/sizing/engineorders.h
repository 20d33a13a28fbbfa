#pragma once

#include "gateway/decisionlog.h"
#include "gateway/duties/leadercalls.h"
#include "gateway/sizing/planholder.h"
#include "gateway/store/storesync.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cranberry {

/// Subject of an order of engines.
struct OrderKey {
    ServiceName service;
    FailureDomainName failureDomain;
    bool reclaimable = false;
    friend std::strong_ordering operator<=>(const OrderKey &, const OrderKey &) = default;
};

/// Sends orders of engines until they are confirmed, and again where engines differ from them.
class EngineOrders
{
public:
    explicit EngineOrders(DecisionLog &log) : log_(log) { }

    /// Forgets all orders, since another leader may have sent others in the meantime.
    void clear();
    /// Returns the count to order instead of `wanted`, of which `existing` run, while engines ordered earlier
    /// are starting.
    uint32_t hold(const OrderKey &subject, uint32_t wanted, uint32_t existing, DurationMs holdTime,
                  DurationMs bootDelay, TimeMs now);
    /// Orders `count` engines of which `existing` run, unless this order is confirmed.
    void send(const OrderKey &subject, uint32_t count, uint32_t existing, const Leadership &leadership,
              TimeMs now);
    void resendReclaimable(const ServiceName &service);
    void onReply(uint64_t id, LeaderCallOutcome outcome, TimeMs now);
    std::vector<LeaderCall> takeCalls() { return std::exchange(calls_, {}); }

    /// The platform recently had no engines for this order.
    bool isShort(const OrderKey &subject, TimeMs now) const;
    /// Number of engines ordered last; nothing if there is no order.
    std::optional<uint32_t> ordered(const OrderKey &subject) const;
    bool isConfirmed(const OrderKey &subject) const;

private:
    struct OrderState {
        OrderHold hold;
        std::optional<uint32_t> count; ///< As sent last.
        uint32_t existing = 0; ///< When it was sent.
        bool confirmed = false;
        TimeMs nextAt;
        TimeMs shortUntil; ///< End of the shortage that "none available" reported.
    };

    DecisionLog &log_;
    std::map<OrderKey, OrderState> ordered_;
    std::map<uint64_t, OrderKey> openCalls_;
    std::vector<LeaderCall> calls_;
    uint64_t nextCall_ = 1;
};

} // namespace cranberry
