#pragma once

#include "common/types.h"

#include <array>

namespace cranberry {

enum class Counter : uint8_t {
    Submitted,
    Accepted,
    AnsweredFully,
    Resumed,
    Claimed, ///< Requests taken over from a witness copy after their owner was lost.
    HandedOver,
    TakenOver,
    RecomputedTokens, ///< Prompt and generated tokens that an engine had to recompute.
    CachedTokens,
    WitnessMissing, ///< Requests accepted while no other daemon could hold the copy.
    SentToOtherDaemon,
    GossipSent,
    FalseSuspicion, ///< A member that was considered down sent a message again.
    ConfigurationsSeen,
    StaleConfiguration,
    MisdirectedMessages,
    Count
};

const char *toText(Counter counter);

/// Counters of one daemon, all exported on the metrics page.
struct Counters {
    std::array<uint64_t, static_cast<size_t>(Counter::Count)> counts = {};
    std::array<uint64_t, static_cast<size_t>(RefusalReason::Count)> refusals = {};
    std::array<uint64_t, static_cast<size_t>(RetryReason::Count)> retries = {};

    void add(Counter counter, uint64_t count = 1) { counts[static_cast<size_t>(counter)] += count; }
    void add(RefusalReason reason) { ++refusals[static_cast<size_t>(reason)]; }
    void add(RetryReason reason) { ++retries[static_cast<size_t>(reason)]; }
    uint64_t of(Counter counter) const { return counts[static_cast<size_t>(counter)]; }
    uint64_t of(RefusalReason reason) const { return refusals[static_cast<size_t>(reason)]; }
    uint64_t of(RetryReason reason) const { return retries[static_cast<size_t>(reason)]; }
};

/// Formats all counters in the Prometheus text exposition format.
std::string prometheusText(const Counters &counters);

} // namespace cranberry
