#pragma once

#include "gateway/gatewayevents.h"

#include <compare>
#include <map>
#include <set>

namespace cranberry {

/// Tells of endpoints whose streams are silent whether they are reached.
///
/// A silent endpoint that accepts connections may still work on its streams, also after their connections are
/// closed; one that accepts none can't be asked.
class SilentEndpoints
{
public:
    /// Way of this daemon to an endpoint.
    struct Path {
        EndpointId endpoint;
        std::optional<Address> relay; ///< Daemon that carries its requests.

        friend std::strong_ordering operator<=>(const Path &, const Path &) = default;
    };

    /// Outcome of the newest new connection since a path fell silent.
    enum class Reach : uint8_t { Unknown, Reached, Unreached };

    /// Returns those of the silent paths that are to be probed now; counts them as probed. What is known of
    /// the other paths is forgotten.
    std::vector<Path> takeDueProbes(const std::set<Path> &silent, TimeMs now);
    /// Records the outcome of a probe, or of any other new connection.
    void record(const Path &path, bool isReached);
    Reach reachOf(const Path &path) const;

private:
    struct Silence {
        TimeMs nextProbeAt;
        DurationMs interval; ///< Between the newest two probes.
        Reach reach = Reach::Unknown;
    };
    std::map<Path, Silence> silent_;
};

} // namespace cranberry
