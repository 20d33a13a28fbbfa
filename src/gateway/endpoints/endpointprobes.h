#pragma once

#include "gateway/gatewayevents.h"

#include <map>

namespace cranberry {

/// An attempt that broke at an endpoint that is asked whether it still runs.
struct BrokenAttempt {
    CallerId caller;
    std::string requestId;
    RequestDigest digest;
    std::optional<TimeMs> firstEventAt;
    bool waits = false; ///< Its request goes on when the endpoint has answered.
};

/// Tells endpoints that end under their requests from connections that break.
///
/// All attempts at an endpoint that ends break within milliseconds of each other: it is asked once for all of
/// them, on a new connection. A connection alone, and an endpoint that drops a request of its own fault, look
/// the same until then.
class EndpointQuestions
{
public:
    /// True if the endpoint is to be asked now; else the open question serves for this attempt, too.
    bool add(const EndpointLife &life, BrokenAttempt broken, TimeMs now);

    struct Answered {
        EndpointLife life;
        TimeMs askedAt;
        std::vector<BrokenAttempt> broken;
        EndpointProcess process = EndpointProcess::Unknown;
    };
    /// What came of the question; nothing if none was open.
    std::optional<Answered> take(const EngineProbed &event);

private:
    struct Question {
        TimeMs askedAt;
        std::vector<BrokenAttempt> broken;
    };
    std::map<EndpointLife, Question> open_;
};

} // namespace cranberry
