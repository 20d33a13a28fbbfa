#pragma once

#include "gateway/gatewayevents.h"

namespace cranberry {

/// Distributes the rate of one limited endpoint among the daemons that request shares; used by the
/// coordinator of the limit.
///
/// A token bucket filled at the stated rate; each token goes to the daemon that has waited longest.
class LimitShares
{
public:
    /// Starts with an empty bucket. `hadPredecessor`: another daemon may have been coordinator until now, so
    /// the first grants wait until those of that daemon have expired.
    void begin(bool hadPredecessor, TimeMs now);
    void end();
    bool isOn() const { return isOn_; }

    void recordRequest(const Address &from, const LimitShareRequest &request, TimeMs now);
    /// What one daemon may send; `requests` is 0 in a reply that grants nothing now.
    struct Share {
        Address to;
        uint64_t requestNumber = 0; ///< Number of the daemon's newest share request.
        uint32_t requests = 0;
    };
    struct Distribution {
        uint32_t own = 0; ///< Requests granted to this daemon.
        std::vector<Share> others; ///< Shares to be sent to other daemons.
    };
    /// Distributes the tokens that have accumulated. `wanted`: requests of this daemon that could go to the
    /// endpoint; `isIdle`: this daemon has no unused grant, so it may keep one in reserve while no request
    /// waits.
    Distribution distribute(double perSecond, uint32_t wanted, bool isIdle, TimeMs now);
    /// Number of waiting requests at all daemons that requested shares.
    uint32_t waiting() const;

private:
    /// A daemon with requests that could go to the endpoint.
    struct Demand {
        std::optional<Address> from; ///< Empty for this daemon.
        uint64_t requestNumber = 0;
        uint32_t waiting = 0;
        TimeMs since; ///< Waiting since this time, or time of its last grant.
        TimeMs requestedAt;
        uint32_t granted = 0; ///< Requests granted in the current distribution.
        bool isAnswered = false; ///< Its newest share request has had a reply.
    };
    void fill(double perSecond, TimeMs now);
    void updateDemand(const Demand &demand);
    Demand *longestWaiting();

    bool isOn_ = false;
    double tokens_ = 0;
    TimeMs filledAt_;
    std::vector<Demand> demands_;
};

} // namespace cranberry
