#pragma once

#include "common/types.h"

#include <memory>

namespace cranberry {

/// Milliseconds as callers see them, by Boost.Histogram.
class LatencyHistograms
{
public:
    LatencyHistograms();
    ~LatencyHistograms();

    void firstToken(DurationMs took);
    void betweenTokens(DurationMs took);
    void whole(DurationMs took);

    /// Cumulative buckets in the Prometheus text form.
    std::string prometheusText() const;

    LatencyHistograms(const LatencyHistograms &) = delete;
    LatencyHistograms &operator=(const LatencyHistograms &) = delete;

private:
    struct Histograms;
    std::unique_ptr<Histograms> histograms_;
};

} // namespace cranberry
