#pragma once

#include "common/random.h"
#include "gateway/requests/gatewayretrybudget.h"
#include "gateway/store/storecalls.h"

#include <map>
#include <utility>

namespace cranberry {

/// Draws retries from a service's pool, which all daemons share in the store.
///
/// What a daemon knows of the pool ends with its process, and its successor would spend the same retries
/// again. So each draw is a conditional write of a list of the draws of the last window, and is used once the
/// store has acknowledged it: the draws of a window never exceed the pool, whatever is killed or cut off. A
/// draw whose reply is lost is lost. Daemons are spread over several keys of a service, so that few of them
/// write to the same one.
class RetryLedger
{
public:
    /// How long a drawn retry may be used.
    static constexpr DurationMs UnitLifetime{1000};

    explicit RetryLedger(uint64_t seed) : random_(seed) { }
    void setLimits(const GatewayRetryLimits &limits) { limits_ = limits; }

    /// What the daemon knows when it draws.
    struct Situation {
        uint64_t requests = 0; ///< Of the service, at all daemons, in the newest window.
        int64_t wallMs = 0; ///< Wall-clock time in Unix milliseconds.
    };
    /// Asks for this many retries of the service, those of an open call included. Returns false if none can
    /// be drawn now: the pool is used up, or the store did not answer a moment ago.
    bool draw(const ServiceName &service, uint32_t units, const Situation &situation, TimeMs now);
    bool isPossible(const ServiceName &service, TimeMs now) const;

    /// The end of a draw; no units: it failed.
    struct Drawn {
        ServiceName service;
        uint32_t units = 0;
    };
    /// Returns nothing for a reply to an earlier call, or if the draw goes on with another call.
    std::optional<Drawn> onStoreReply(const StoreReply &reply, TimeMs now);
    std::vector<StoreCall> takeStoreCalls() { return std::exchange(storeCalls_, {}); }

private:
    struct Draw {
        int64_t wallMs = 0;
        uint32_t units = 0;
    };
    /// One key of a service, as last read or written.
    struct Part {
        uint64_t revision = 0; ///< 0: not known, or the key does not exist.
        std::vector<Draw> draws;
        uint64_t requests = 0; ///< The most that a daemon knew of at `requestsWallMs`.
        int64_t requestsWallMs = 0;
    };
    struct Account {
        std::map<size_t, Part> parts;
        size_t part = 0; ///< The one to draw from.
        size_t partsTried = 0;
        uint32_t conflicts = 0; ///< Of the present draw.
        uint32_t noReplies = 0; ///< Of the present draw.
        uint32_t wanted = 0;
        uint32_t writing = 0; ///< Units of the open call.
        uint64_t openCall = 0; ///< 0: none.
        Situation situation;
        Part written; ///< What the open call writes.
        TimeMs blockedUntil;
    };
    size_t partCount() const;
    uint32_t freeUnits(const Part &part, const Situation &situation) const;
    bool isInWindow(int64_t wallMs, int64_t nowWallMs) const;
    /// Writes a draw to the first part that has units; false if none has.
    bool write(const ServiceName &service, Account &account);
    static std::string textOf(const Part &part);
    static Part partFromItem(const StoreItem &item);

    GatewayRetryLimits limits_;
    Random random_;
    std::map<ServiceName, Account> accounts_;
    uint64_t nextCall_ = 1;
    std::optional<uint64_t> era_; ///< Of the store, by its newest reply.
    std::vector<StoreCall> storeCalls_;
};

} // namespace cranberry
