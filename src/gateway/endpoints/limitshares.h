#pragma once

#include "gateway/gatewayevents.h"

namespace cranberry {

/// Shares out what an endpoint takes, one request after the other, to the daemons that ask: the coordinator's
/// part of a limit.
///
/// A token bucket at the stated rate; whoever has waited longest gets the next one.
class LimitShares
{
public:
    /// Begins with nothing saved up. `others`: another daemon may have shared out the same until now, so what
    /// it has granted is waited for.
    void begin(bool others, TimeMs now);
    void end();
    bool isOn() const { return isOn_; }

    void ask(const Address &from, const LimitAsk &ask, TimeMs now);
    /// What one daemon may send, or an answer that there is nothing for it now.
    struct Share {
        Address to;
        uint64_t ask = 0; ///< Number of its newest question.
        uint32_t requests = 0;
    };
    struct Shared {
        uint32_t own = 0; ///< For this daemon.
        std::vector<Share> others; ///< To be told.
    };
    /// Shares out what has come in at the rate. `wanted`: requests of this daemon that could go there;
    /// `isIdle`: it has none granted, so it may keep one ready while nobody waits.
    Shared share(double perSecond, uint32_t wanted, bool isIdle, TimeMs now);
    /// Requests that wait at all daemons that asked.
    uint32_t waiting() const;

private:
    /// A daemon with requests that could go there.
    struct Demand {
        std::optional<Address> from; ///< Empty: this daemon.
        uint64_t ask = 0;
        uint32_t waiting = 0;
        TimeMs since; ///< It waits since then, or was last granted something.
        TimeMs heardAt;
        uint32_t granted = 0; ///< In this turn.
        bool isAnswered = false; ///< Its newest question.
    };
    void fill(double perSecond, TimeMs now);
    void note(const Demand &demand);
    Demand *longestWaiting();

    bool isOn_ = false;
    double tokens_ = 0;
    TimeMs filledAt_;
    std::vector<Demand> demands_;
};

} // namespace cranberry
