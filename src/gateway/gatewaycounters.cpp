#include "gateway/gatewaycounters.h"

#include <fmt/format.h>

namespace cranberry {

namespace {

constexpr std::array<const char *, static_cast<size_t>(GatewayRefusal::Count)> RefusalNames
    = {"no_configuration",  "stale_configuration", "bad_request", "unknown_route",     "unknown_key",
       "over_limit",        "no_endpoint",         "overloaded",  "endpoints_limited", "not_executed",
       "endpoint_broken",   "timed_out",           "leaving",     "quarantined",       "endpoints_unreached",
       "endpoints_resting", "origin_unknown"};

constexpr std::array<const char *, static_cast<size_t>(GatewayRetry::Count)> RetryNames = {
    "connect_failed", "not_executed", "wrong_instance", "broken", "server_error", "stream_resumed", "moved"};

constexpr std::array<const char *, static_cast<size_t>(ExchangePhase::Count)> PhaseNames
    = {"arrived", "awaiting_start", "awaiting_origin", "awaiting_limit", "queued", "sent", "streaming"};

constexpr std::array<const char *, static_cast<size_t>(RunEndProof::Count)> ProofNames
    = {"stream_closed", "said_stopped", "said_unknown", "replaced", "unreached"};

constexpr std::array<const char *, static_cast<size_t>(GatewayCount::Count)> CountNames
    = {"requests",
       "attempts",
       "answers_passed",
       "answers_without_end",
       "streams_whole",
       "streams_broken",
       "sources_closed_in_move",
       "move_calls_repeated",
       "moves_without_reply",
       "callers_gone",
       "retries_denied",
       "rests_asked",
       "endpoints_said_leaving",
       "retries_awaiting_draw",
       "retry_draws",
       "retry_draws_failed",
       "retries_drawn",
       "queued",
       "peer_reports",
       "configurations_taken",
       "entries_unreadable",
       "endpoints_ended",
       "endpoints_outlived_breaks",
       "requests_quarantined",
       "versions_suspected",
       "answers_named_limit",
       "sent_to_limited",
       "checkpoints_written",
       "checkpoints_used",
       "checkpoints_rejected",
       "checkpoints_too_large",
       "breaks_unexplained",
       "streams_late_first_event",
       "streams_late_pause",
       "streams_late_both",
       "pauses_over_target",
       "engines_ejected",
       "kv_fetches",
       "kv_fetch_tokens",
       "queued_behind_others",
       "returns_scheduled",
       "returns_too_late",
       "endpoint_connections",
       "endpoint_connects_refused",
       "endpoint_connects_timed_out",
       "path_probes",
       "partitions",
       "attempts_relayed",
       "relays_failed",
       "relays_silent",
       "relayed_for_peers",
       "resumptions_known",
       "resumptions_learned",
       "resumptions_sole_version",
       "usage_copies",
       "origin_notices"};

} // namespace

const char *toText(GatewayRefusal reason)
{
    return RefusalNames[static_cast<size_t>(reason)];
}

const char *toText(GatewayRetry reason)
{
    return RetryNames[static_cast<size_t>(reason)];
}

const char *toText(ExchangePhase phase)
{
    return PhaseNames[static_cast<size_t>(phase)];
}

const char *toText(RunEndProof proof)
{
    return ProofNames[static_cast<size_t>(proof)];
}

const char *toText(GatewayCount count)
{
    return CountNames[static_cast<size_t>(count)];
}

std::string prometheusText(const GatewayCounters &counters)
{
    std::string out;
    for (size_t i = 0; i < CountNames.size(); ++i)
        out += fmt::format("cranberry_gateway_{}_total {}\n", CountNames[i], counters.counts[i]);
    for (size_t i = 0; i < RefusalNames.size(); ++i)
        out += fmt::format("cranberry_gateway_refusals_total{{reason=\"{}\"}} {}\n", RefusalNames[i],
                           counters.refusals[i]);
    for (size_t i = 0; i < RetryNames.size(); ++i)
        out += fmt::format("cranberry_gateway_retries_total{{reason=\"{}\"}} {}\n", RetryNames[i],
                           counters.retries[i]);
    for (size_t i = 0; i < PhaseNames.size(); ++i)
        out += fmt::format("cranberry_gateway_ended_for_exit_total{{phase=\"{}\"}} {}\n", PhaseNames[i],
                           counters.endedForExit[i]);
    for (size_t i = 0; i < ProofNames.size(); ++i)
        out += fmt::format("cranberry_gateway_runs_left_total{{proof=\"{}\"}} {}\n", ProofNames[i],
                           counters.runsLeft[i]);
    for (size_t i = 0; i < CloseCauseNames.size(); ++i)
        out += fmt::format("cranberry_gateway_connections_closed_total{{cause=\"{}\"}} {}\n",
                           CloseCauseNames[i], counters.closed[i]);
    return out;
}

} // namespace cranberry
