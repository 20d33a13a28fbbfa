#pragma once

#include "gateway/gatewayevents.h"
#include "io/httpclient.h"

namespace cranberry {

/// Returns None for a failure after the connection was established.
constexpr ConnectFailure connectFailureOf(HttpFailure failure)
{
    if (mayHaveArrived(failure))
        return ConnectFailure::None;
    return failure == HttpFailure::Refused ? ConnectFailure::Refused : ConnectFailure::TimedOut;
}

} // namespace cranberry
