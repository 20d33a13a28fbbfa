#pragma once

#include "common/types.h"

#include <array>

namespace cranberry {

enum class Counter : uint8_t {
    Submitted,
    Accepted,
    AnsweredWhole,
    Resumed,
    Claimed, ///< Requests taken over from a witness copy.
    HandedOver,
    TakenOver,
    RecomputedTokens, ///< Prompt and generated tokens an engine had to compute again.
    CachedTokens,
    WitnessMissing, ///< Accepted with no other daemon to hold the copy.
    SentElsewhere,
    GossipSent,
    FalseSuspicion, ///< A member taken for gone was heard again.
    ConfigurationsSeen,
    StaleConfiguration,
    MisdirectedMessages,
    Count
};

const char *toText(Counter counter);

/// Plain counts of one daemon; the metrics page prints them all.
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

/// All counters in the Prometheus text form.
std::string prometheusText(const Counters &counters);

} // namespace cranberry
