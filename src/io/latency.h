#pragma once

#include "common/types.h"

#include <memory>

namespace cranberry {

/// Histograms of the latencies that callers see, in milliseconds.
class LatencyHistograms
{
public:
    LatencyHistograms();
    ~LatencyHistograms();

    void firstToken(DurationMs took);
    void betweenTokens(DurationMs took);
    void fullResponse(DurationMs took);

    /// Returns cumulative buckets in the Prometheus text format.
    std::string prometheusText() const;

    LatencyHistograms(const LatencyHistograms &) = delete;
    LatencyHistograms &operator=(const LatencyHistograms &) = delete;

private:
    struct Histograms;
    std::unique_ptr<Histograms> histograms_;
};

} // namespace cranberry
