#include "daemon/counters.h"

#include <fmt/format.h>

namespace cranberry {

namespace {

constexpr std::array<const char *, static_cast<size_t>(Counter::Count)> CounterNames
    = {"submitted",
       "accepted",
       "answered_whole",
       "resumed",
       "claimed",
       "handed_over",
       "taken_over",
       "recomputed_tokens",
       "cached_tokens",
       "witness_missing",
       "sent_elsewhere",
       "gossip_sent",
       "false_suspicion",
       "configurations_seen",
       "stale_configuration",
       "misdirected_messages"};

} // namespace

const char *toText(Counter counter)
{
    return CounterNames[static_cast<size_t>(counter)];
}

std::string prometheusText(const Counters &counters)
{
    std::string out;
    for (size_t i = 0; i < counters.counts.size(); ++i) {
        out += fmt::format("# TYPE cranberry_{0}_total counter\ncranberry_{0}_total {1}\n", CounterNames[i],
                           counters.counts[i]);
    }
    out += "# TYPE cranberry_refusals_total counter\n";
    for (size_t i = 0; i < counters.refusals.size(); ++i)
        out += fmt::format("cranberry_refusals_total{{reason=\"{}\"}} {}\n",
                           toText(static_cast<RefusalReason>(i)), counters.refusals[i]);
    out += "# TYPE cranberry_retries_total counter\n";
    for (size_t i = 0; i < counters.retries.size(); ++i)
        out += fmt::format("cranberry_retries_total{{reason=\"{}\"}} {}\n",
                           toText(static_cast<RetryReason>(i)), counters.retries[i]);
    return out;
}

} // namespace cranberry
