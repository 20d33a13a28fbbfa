#include "io/latency.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace histogram = boost::histogram;

namespace cranberry {

namespace {

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Histogram = decltype(histogram::make_histogram(std::declval<Axis>()));

constexpr unsigned int Buckets = 24;
constexpr double MinLatencyMs = 1;
constexpr double MaxLatencyMs = 100'000;

Histogram makeLatencyHistogram()
{
    return histogram::make_histogram(Axis(Buckets, MinLatencyMs, MaxLatencyMs));
}

std::string textOf(const Histogram &counts, const char *name)
{
    std::string out = fmt::format("# TYPE cranberry_{0}_ms histogram\n", name);
    double sum = counts.at(-1);
    for (int i = 0; i < counts.axis().size(); ++i) {
        sum += counts.at(i);
        out += fmt::format("cranberry_{}_ms_bucket{{le=\"{:.1f}\"}} {}\n", name, counts.axis().bin(i).upper(),
                           sum);
    }
    sum += counts.at(counts.axis().size());
    out += fmt::format("cranberry_{0}_ms_bucket{{le=\"+Inf\"}} {1}\ncranberry_{0}_ms_count {1}\n", name, sum);
    return out;
}

} // namespace

struct LatencyHistograms::Histograms {
    Histogram firstToken = makeLatencyHistogram();
    Histogram betweenTokens = makeLatencyHistogram();
    Histogram fullResponse = makeLatencyHistogram();
};

LatencyHistograms::LatencyHistograms() : histograms_(std::make_unique<Histograms>()) { }
LatencyHistograms::~LatencyHistograms() = default;

void LatencyHistograms::firstToken(DurationMs took)
{
    histograms_->firstToken(static_cast<double>(took.count));
}

void LatencyHistograms::betweenTokens(DurationMs took)
{
    histograms_->betweenTokens(static_cast<double>(took.count));
}

void LatencyHistograms::fullResponse(DurationMs took)
{
    histograms_->fullResponse(static_cast<double>(took.count));
}

std::string LatencyHistograms::prometheusText() const
{
    return textOf(histograms_->firstToken, "first_token")
        + textOf(histograms_->betweenTokens, "between_tokens")
        + textOf(histograms_->fullResponse, "whole_answer");
}

} // namespace cranberry
