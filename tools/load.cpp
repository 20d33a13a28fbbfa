#include "load.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <random>

namespace json = boost::json;

namespace cranberry {

namespace {

constexpr int PlainShare = 30; ///< Percent of all jobs.
constexpr int NonIdempotentShare = 50; ///< Percent of the plain calls.
constexpr int SessionlessKeyShare = 20; ///< Percent of the non-idempotent calls: key without a session.

struct EntriesReply {
    std::vector<Address> entries;
    std::string session;
};

EntriesReply fetchEntries(boost::asio::io_context &io, HttpClient &http, const Address &daemon,
                          const std::string &organisation)
{
    EntriesReply out;
    HttpCall call;
    call.address = daemon;
    call.request.target = "/v1/entries?session=true&organisation=" + organisation;
    http.fetch(std::move(call), [&out, &io](const HttpResponse &response) {
        io.stop();
        json::error_code code;
        const json::value body = json::parse(response.body, code);
        if (code || !body.is_object() || !body.as_object().contains("entries"))
            return;
        for (const json::value &entry : body.at("entries").as_array()) {
            if (const std::optional<Address> address = addressFromText(std::string(entry.as_string())))
                out.entries.push_back(*address);
        }
        if (const json::value *session = body.as_object().if_contains("session"))
            out.session = std::string(session->as_string());
    });
    io.run();
    io.restart();
    return out;
}

int64_t percentile(std::vector<int64_t> values, double share)
{
    if (values.empty())
        return 0;
    const size_t index
        = std::min(values.size() - 1, static_cast<size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<int64_t>(index), values.end());
    return values[index];
}

/// Starts the jobs of one load run at a fixed rate and summarises their results.
class LoadRun
{
public:
    LoadRun(const LoadOptions &options, EntriesReply reply)
        : options_(options), reply_(std::move(reply)), http_(io_), timer_(io_), random_(options.seed)
    {
        if (!options.callerLog.empty())
            log_.open(options.callerLog);
    }

    int run()
    {
        next();
        io_.run();
        return summary();
    }

private:
    Job makeJob()
    {
        Job job;
        job.number = started_;
        job.organisation = options_.organisation;
        job.chat = options_.plain.empty() || static_cast<int>(random_() % 100) >= PlainShare;
        if (job.chat) {
            job.service = options_.model;
            const std::string shared = "section " + std::to_string(random_() % 8) + " ";
            while (job.prompt.size() < static_cast<size_t>(options_.promptBytes))
                job.prompt += shared;
            job.prompt += fmt::format("job {} {}", options_.seed, started_);
            job.expectedTokens = options_.tokens;
            return job;
        }
        job.service = options_.plain;
        job.path = "/exports";
        job.prompt = fmt::format("export-{}-{}", options_.seed, started_);
        job.nonIdempotent = static_cast<int>(random_() % 100) < NonIdempotentShare;
        if (!job.nonIdempotent)
            return job;
        if (static_cast<int>(random_() % 100) < SessionlessKeyShare) {
            job.key = job.prompt;
        } else {
            job.session = reply_.session;
            job.key = std::to_string(++sequence_);
        }
        return job;
    }

    void next()
    {
        if (started_ >= static_cast<uint64_t>(options_.jobs))
            return;
        Job job = makeJob();
        ++started_;
        std::make_shared<CallerClient>(
            io_, http_, reply_.entries, std::move(job),
            [this](const Job &done, const JobResult &result) { onDone(done, result); })
            ->start();
        timer_.expires_after(std::chrono::microseconds(1'000'000 / options_.perSecond));
        timer_.async_wait([this](const boost::system::error_code &) { next(); });
    }

    void onDone(const Job &job, const JobResult &result)
    {
        ++outcomes_[result.outcome];
        ++entries_[toText(result.entry)];
        if (!result.reason.empty())
            ++reasons_[fmt::format("{}:{}", toText(result.outcome), result.reason)];
        resumes_ += result.resumes;
        redirectsFollowed_ += result.redirectsFollowed;
        refusals_ += result.refusals;
        if (job.chat && result.outcome == JobOutcome::Complete)
            firstTokens_.push_back(result.firstToken.count);
        totals_.push_back(result.total.count);
        if (log_)
            log_ << fmt::format("{} {} {} {}\n", job.nonIdempotent ? "once" : "any", toText(result.outcome),
                                job.chat ? "chat" : job.prompt, result.reason);
        if (totals_.size() == static_cast<size_t>(options_.jobs))
            io_.stop();
    }

    int summary()
    {
        fmt::print("jobs {}:", started_);
        for (const std::pair<const JobOutcome, uint64_t> &entry : outcomes_)
            fmt::print(" {} {}", toText(entry.first), entry.second);
        fmt::print("\n  refusals met and waited out {}, resumed {}, sent on {}\n", refusals_, resumes_,
                   redirectsFollowed_);
        for (const std::pair<const std::string, uint64_t> &entry : reasons_)
            fmt::print("  {} {}\n", entry.first, entry.second);
        fmt::print("  entries used:");
        for (const std::pair<const std::string, uint64_t> &entry : entries_)
            fmt::print(" {} ({})", entry.first, entry.second);
        fmt::print("\n  first token p50 {} ms p95 {} ms; whole p50 {} ms p99 {} ms\n",
                   percentile(firstTokens_, 0.5), percentile(firstTokens_, 0.95), percentile(totals_, 0.5),
                   percentile(totals_, 0.99));
        return outcomes_[JobOutcome::Complete] == started_ ? 0 : 1;
    }

    LoadOptions options_;
    EntriesReply reply_;
    boost::asio::io_context io_;
    HttpClient http_;
    boost::asio::steady_timer timer_;
    std::mt19937_64 random_;
    std::ofstream log_;
    uint64_t started_ = 0;
    uint64_t sequence_ = 0;
    uint64_t resumes_ = 0;
    uint64_t redirectsFollowed_ = 0;
    uint64_t refusals_ = 0;
    std::map<JobOutcome, uint64_t> outcomes_;
    std::map<std::string, uint64_t> reasons_;
    std::map<std::string, uint64_t> entries_;
    std::vector<int64_t> firstTokens_;
    std::vector<int64_t> totals_;
};

/// Sends small plain calls to one address at a fixed rate and records their latencies in microseconds.
class FixedRateClient
{
public:
    FixedRateClient(boost::asio::io_context &io, HttpClient &http, HttpCall call, int requests, int perSecond)
        : http_(http), timer_(io), call_(std::move(call)), remaining_(requests), perSecond_(perSecond)
    { }

    void next()
    {
        if (remaining_-- <= 0)
            return;
        const std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
        http_.fetch(call_, [this, startedAt](const HttpResponse &response) {
            const std::chrono::steady_clock::duration took = std::chrono::steady_clock::now() - startedAt;
            if (response.failure == HttpFailure::None && response.status == 200)
                latenciesUs_.push_back(std::chrono::duration_cast<std::chrono::microseconds>(took).count());
            else
                ++failed_;
        });
        timer_.expires_after(std::chrono::microseconds(1'000'000 / perSecond_));
        timer_.async_wait([this](const boost::system::error_code &) { next(); });
    }

    void print(const char *name) const
    {
        fmt::print("{}: {} answered, {} failed, p50 {} us, p99 {} us\n", name, latenciesUs_.size(), failed_,
                   percentile(latenciesUs_, 0.5), percentile(latenciesUs_, 0.99));
    }
    int64_t latencyUs(double share) const { return percentile(latenciesUs_, share); }

private:
    HttpClient &http_;
    boost::asio::steady_timer timer_;
    HttpCall call_;
    int remaining_;
    int perSecond_;
    uint64_t failed_ = 0;
    std::vector<int64_t> latenciesUs_;
};

} // namespace

int runLoad(const LoadOptions &options)
{
    boost::asio::io_context io;
    HttpClient http(io);
    const std::optional<Address> daemon = addressFromText(options.entry);
    const EntriesReply reply = fetchEntries(io, http, daemon.value_or(Address{}), options.organisation);
    if (reply.entries.empty()) {
        fmt::print(stderr, "cranberrybench: {} names no entries\n", options.entry);
        return 1;
    }
    return LoadRun(options, reply).run();
}

int runCompare(const CompareOptions &options)
{
    boost::asio::io_context io;
    HttpClient http(io);
    HttpCall direct;
    direct.address = addressFromText(options.endpoint).value_or(Address{});
    direct.request = {"GET", "/lookup", {}, ""};
    HttpCall viaDaemon;
    viaDaemon.address = addressFromText(options.entry).value_or(Address{});
    viaDaemon.request = {
        "GET", "/v1/services/" + options.service + "/lookup", {{"X-Organisation", options.organisation}}, ""};
    FixedRateClient directClient(io, http, direct, options.requests, options.perSecond);
    FixedRateClient daemonClient(io, http, viaDaemon, options.requests, options.perSecond);
    directClient.next();
    daemonClient.next();
    io.run();
    directClient.print("direct ");
    daemonClient.print("through");
    fmt::print("added: p50 {} us, p99 {} us at {} requests a second\n",
               daemonClient.latencyUs(0.5) - directClient.latencyUs(0.5),
               daemonClient.latencyUs(0.99) - directClient.latencyUs(0.99), options.perSecond);
    return 0;
}

} // namespace cranberry
