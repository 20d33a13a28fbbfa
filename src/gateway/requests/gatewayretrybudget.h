#pragma once

#include "common/types.h"
#include "gateway/gatewaycounters.h"

#include <deque>
#include <map>
#include <optional>

namespace cranberry {

/// Limits the retries (sends beyond the first of each request) of a service, over all daemons: `ratio` for
/// each request of a window, and `slack` besides.
struct GatewayRetryLimits {
    double ratio = 0.2; ///< Retries allowed per request of the service.
    double slack = 10; ///< Retries allowed beyond the ratio, over all daemons.
    DurationMs window{10000};
};

/// Fraction of the allowed retries that the daemons divide into equal shares.
constexpr double SharedFraction = 0.45;
/// Fraction that they draw from a pool in the store. The rest covers daemons that differ for a moment in what
/// they know of the requests and of each other.
constexpr double PooledFraction = 0.5;

/// The daemons that divide the shared part, as far as this one knows.
struct RetrySharers {
    size_t count = 1;
    bool isSharer = false; ///< This daemon is one of them, by a list that is not older than a window.
    bool knowsServing = true; ///< False: no daemon serves yet, and all listed ones are taken for sharers.
};

/// This daemon's part of the retries that all daemons may make for each service. Prevents retry storms, in
/// which a failing service gets a multiple of its normal load.
///
/// A daemon has an equal share only if it has shared for a whole window, and divides by the highest number of
/// sharers in it. So all who used a share in a window shared at its start, and their shares never add up to
/// more than the whole, whatever is killed, stopped or cut off meanwhile. A daemon that starts has none,
/// since its predecessor may have used it up, and draws units from the pool (RetryLedger).
class GatewayRetryBudget
{
public:
    void setLimits(const GatewayRetryLimits &limits) { limits_ = limits; }
    void countRequest(const ServiceName &service, TimeMs now);
    /// Requests of this daemon in the newest window, by service.
    std::map<ServiceName, uint32_t> requests(TimeMs now);
    /// Sets what is known of the others: the sharers, and their requests in a window.
    void update(const RetrySharers &sharers, const std::map<ServiceName, uint64_t> &requestsOfOthers,
                TimeMs now);

    /// Returns whether one more retry is within this daemon's share or the units that it has drawn.
    bool allows(const ServiceName &service, GatewayRetry reason, TimeMs now);
    /// Takes one retry. Returns false if none is left.
    bool take(const ServiceName &service, GatewayRetry reason, TimeMs now);
    /// Adds units that were drawn from the pool.
    void addDrawn(const ServiceName &service, uint32_t units, TimeMs until);

    /// A service's retries at this daemon, for logs and metrics.
    struct Use {
        uint64_t requests = 0; ///< Of all daemons in a window.
        size_t sharers = 0;
        double share = 0; ///< Retries that this daemon may make in a window; 0: it has no share.
        uint32_t ofShare = 0; ///< Retries that it made from its share in the newest window.
        uint32_t drawn = 0; ///< Made with units of the pool in the newest window.
        std::map<GatewayRetry, uint32_t> inSecond; ///< Made in the second before, by reason.
    };
    Use use(const ServiceName &service, TimeMs now);
    /// Services with retries in the second before.
    std::vector<ServiceName> activeServices(TimeMs now) const;

private:
    /// Counts of one second; the window is kept as one slot per second to bound its size.
    struct Slot {
        int64_t second = 0;
        uint32_t requests = 0;
        uint32_t ofShare = 0;
        uint32_t drawn = 0;
        std::map<GatewayRetry, uint32_t> reasons;
    };
    struct Units {
        uint32_t count = 0;
        TimeMs until;
    };
    struct Account {
        std::deque<Slot> slots;
        std::deque<std::pair<int64_t, uint64_t>> totals; ///< Requests of all daemons, by second.
        std::deque<Units> drawn;
    };
    Slot &slotAt(Account &account, TimeMs now) const;
    uint32_t ownRequests(const Account &account) const;
    static uint64_t totalRequests(const Account &account);
    double share(const Account &account, TimeMs now) const;
    bool hasShare(TimeMs now) const;

    GatewayRetryLimits limits_;
    std::map<ServiceName, Account> accounts_;
    std::optional<TimeMs> startedAt_;
    std::optional<TimeMs> sharesSince_;
    TimeMs updatedAt_;
    std::deque<std::pair<TimeMs, size_t>> sharerCounts_; ///< Of the newest window; decreasing.
};

} // namespace cranberry
