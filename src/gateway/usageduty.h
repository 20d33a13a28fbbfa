#pragma once

#include "gateway/decisionlog.h"
#include "gateway/dutycalls.h"
#include "gateway/peertable.h"
#include "gateway/storecalls.h"
#include "gateway/storesync.h"
#include "gateway/usagewindows.h"

#include <map>
#include <utility>

namespace cranberry {

/// Reports each window's usage once.
///
/// The counts are written to the store under a condition before they are sent. A successor, or this daemon
/// after a lost reply, finds them there and sends the same: two different reports of one window can't exist.
class UsageDuty
{
public:
    UsageDuty(DurationMs due, DecisionLog &log) : due_(due), log_(log) { }

    void tick(const Leadership &leadership, const UsageWindows &windows, const PeerTable &peers,
              const ServingConfigurationPtr &configuration, TimeMs now);
    void onStoreReply(const StoreReply &reply, TimeMs now);
    void onDutyReply(uint64_t id, DutyOutcome outcome, TimeMs now);

    std::vector<StoreCall> takeStoreCalls() { return std::exchange(storeCalls_, {}); }
    std::vector<DutyCall> takeDutyCalls() { return std::exchange(dutyCalls_, {}); }

private:
    enum class Step : uint8_t { Count, Writing, Send, Sending, Done };
    struct Window {
        Step step = Step::Count;
        TimeMs nextAt;
        std::map<OrganisationName, uint64_t> counts;
    };
    void write(int64_t number, Window &window, TimeMs now);
    void send(int64_t number, Window &window, const Leadership &leadership, TimeMs now);

    DurationMs due_;
    std::optional<TimeMs> heldSince_;
    DecisionLog &log_;
    std::map<int64_t, Window> windows_;
    std::map<uint64_t, int64_t> calls_; ///< Open calls, by id, to their window.
    std::vector<StoreCall> storeCalls_;
    std::vector<DutyCall> dutyCalls_;
    uint64_t nextCall_ = 1;
};

} // namespace cranberry
