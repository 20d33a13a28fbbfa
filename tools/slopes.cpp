#include "slopes.h"

#include "daemon/daemon.h"
#include "daemon/peercodec.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <functional>
#include <malloc.h>
#include <memory>
#include <numeric>
#include <queue>

namespace cranberry {

namespace {

constexpr DurationMs NetworkDelay{1};

double microsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
}

size_t heapBytes()
{
    return mallinfo2().uordblks;
}

struct Point {
    double size = 0;
    double value = 0;
};

// Prints a least-squares line and the largest residual of a point ("spread").
void printSlope(const char *name, const char *unit, const std::vector<Point> &points)
{
    const double n = static_cast<double>(points.size());
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    std::string values;
    for (const Point &point : points) {
        sx += point.size;
        sy += point.value;
        sxx += point.size * point.size;
        sxy += point.size * point.value;
        values += fmt::format(" {:.0f}:{:.3g}", point.size, point.value);
    }
    const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    const double base = (sy - slope * sx) / n;
    double maxResidual = 0;
    for (const Point &point : points)
        maxResidual = std::max(maxResidual, std::abs(point.value - base - slope * point.size));
    fmt::print("slope | {} | {:.4g} {} each, base {:.4g}, spread {:.2g} |{}\n", name, slope, unit, base,
               maxResidual, values);
}

std::string configurationText(size_t endpoints)
{
    std::string list;
    for (size_t i = 0; i < endpoints; ++i) {
        list += fmt::format(R"({}{{"name":"server-{}","instance":"i-{:08x}","failureDomain":"d{}",)"
                            R"("address":"10.{}.{}.{}:8000","slots":32}})",
                            i ? "," : "", i, i, i % 22, i >> 16, (i >> 8) & 255, i & 255);
    }
    std::string domains;
    for (int i = 0; i < 22; ++i)
        domains += fmt::format("{}\"d{}\"", i ? "," : "", i);
    return fmt::format(R"({{"failureDomains":[{}],"organisations":[{{"name":"o"}}],"services":[{{"name":"s",)"
                       R"("kind":"model","endpoints":[{}]}}]}})",
                       domains, list);
}

/// Simulates daemons that gossip in virtual time. Every message is encoded and decoded as on the network.
class Cluster
{
public:
    explicit Cluster(size_t count)
    {
        std::vector<Address> seeds;
        for (size_t i = 0; i < std::min<size_t>(count, 5); ++i)
            seeds.push_back(peerAddress(i));
        for (size_t i = 0; i < count; ++i) {
            DaemonOptions identity;
            identity.member = {{1000 + i},
                               {fmt::format("entry-{}", i)},
                               {fmt::format("d{}", i % 22)},
                               {"10.1.0.1", 1},
                               peerAddress(i),
                               1,
                               {0}};
            identity.seeds = seeds;
            identity.seed = 77 + i;
            daemons_.push_back(std::make_unique<Daemon>(identity));
        }
        dead_.resize(count, false);
    }

    void runUntil(TimeMs end)
    {
        while (now_ < end) {
            now_ = now_ + DurationMs{1};
            for (size_t i = now_.count % TickInterval.count; i < daemons_.size(); i += TickInterval.count)
                step(i, Tick{});
            deliver();
        }
    }

    void step(size_t index, const Event &event)
    {
        if (dead_[index])
            return;
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        const std::vector<Action> actions = daemons_[index]->step(now_, event);
        cpuMicros_ += microsSince(start);
        for (const Action &action : actions) {
            const SendPeer *send = std::get_if<SendPeer>(&action);
            if (!send)
                continue;
            const std::chrono::steady_clock::time_point encodeStart = std::chrono::steady_clock::now();
            std::string bytes = encodeEnvelope({daemons_[index]->world().self(), send->to, send->message});
            cpuMicros_ += microsSince(encodeStart);
            bytes_ += bytes.size();
            ++messages_;
            inFlight_.push_back(
                {now_ + NetworkDelay, static_cast<size_t>(send->address.port - 1), std::move(bytes)});
        }
    }

    void kill(size_t index) { dead_[index] = true; }
    void resetCounts()
    {
        cpuMicros_ = 0;
        bytes_ = 0;
        messages_ = 0;
    }

    /// Returns the virtual milliseconds until `holds` is true for every live daemon, or -1 if that takes
    /// `limit` or longer.
    int64_t timeUntilAll(const std::function<bool(const World &)> &holds, DurationMs limit)
    {
        const TimeMs start = now_;
        while (now_ - start < limit) {
            bool all = true;
            for (size_t i = 0; i < daemons_.size() && all; ++i)
                all = dead_[i] || holds(daemons_[i]->world());
            if (all)
                return (now_ - start).count;
            runUntil(now_ + DurationMs{20});
        }
        return -1;
    }

    TimeMs now() const { return now_; }
    double cpuMicros() const { return cpuMicros_; }
    double bytes() const { return static_cast<double>(bytes_); }
    double messages() const { return static_cast<double>(messages_); }
    double count() const { return static_cast<double>(daemons_.size()); }
    const World &world(size_t index) const { return daemons_[index]->world(); }

private:
    struct Datagram {
        TimeMs at;
        size_t to = 0;
        std::string bytes;
    };

    static Address peerAddress(size_t index) { return {"10.0.0.1", static_cast<uint16_t>(index + 1)}; }

    void deliver()
    {
        std::vector<Datagram> due;
        due.swap(inFlight_);
        for (Datagram &datagram : due) {
            if (datagram.at > now_) {
                inFlight_.push_back(std::move(datagram));
                continue;
            }
            const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
            const std::optional<PeerEnvelope> envelope = decodeEnvelope(datagram.bytes);
            cpuMicros_ += microsSince(start);
            if (envelope)
                step(datagram.to, PeerInbound{envelope->from, envelope->to, envelope->message});
        }
    }

    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::vector<bool> dead_;
    std::vector<Datagram> inFlight_;
    TimeMs now_{100'000};
    double cpuMicros_ = 0;
    uint64_t bytes_ = 0;
    uint64_t messages_ = 0;
};

void measureMembership()
{
    std::vector<Point> cpu;
    std::vector<Point> bytes;
    std::vector<Point> heap;
    for (const size_t count : {8, 32, 128, 400, 890}) {
        const size_t before = heapBytes();
        Cluster cluster(count);
        cluster.runUntil(cluster.now() + DurationMs{6000});
        const double heapPerDaemon = static_cast<double>(heapBytes() - before) / cluster.count();
        cluster.resetCounts();
        constexpr int64_t Seconds = 5;
        cluster.runUntil(cluster.now() + DurationMs{Seconds * 1000});
        const double size = cluster.count();
        cpu.push_back({size, cluster.cpuMicros() / size / Seconds});
        bytes.push_back({size, cluster.bytes() / size / Seconds});
        heap.push_back({size, heapPerDaemon});
        uint64_t minKnownDaemons = ~0ULL;
        for (size_t i = 0; i < count; ++i)
            minKnownDaemons = std::min<uint64_t>(minKnownDaemons, cluster.world(i).members.aliveCount());

        cluster.step(0, ConfigurationReceived{{5}, configurationText(16)});
        const int64_t inForceMs
            = cluster.timeUntilAll([](const World &world) { return world.revision >= Revision{5}; }, {20000});
        cluster.step(1, LeavingNotice{{"i-00000001"}, DurationMs{4000}});
        const int64_t markMs = cluster.timeUntilAll(
            [](const World &world) { return world.marks.isLeaving(InstanceName{"i-00000001"}); }, {20000});
        cluster.kill(2);
        const int64_t deathSeenMs = cluster.timeUntilAll(
            [](const World &world) { return !world.members.isAlive({1002}); }, {60000});
        uint64_t falseSuspicions = 0;
        for (size_t i = 0; i < count; ++i)
            falseSuspicions += cluster.world(i).counters.of(Counter::FalseSuspicion);
        fmt::print("daemons {} | least known {} | messages {:.1f}/s | in force everywhere {} ms | mark "
                   "everywhere {} ms | "
                   "death seen by all {} ms | false suspicions {}\n",
                   count, minKnownDaemons, cluster.messages() / size / Seconds, inForceMs, markMs,
                   deathSeenMs, falseSuspicions);
    }
    printSlope("gossip processor time a daemon, us/s, by daemons", "us/s", cpu);
    printSlope("gossip bytes sent a daemon, B/s, by daemons", "B/s", bytes);
    printSlope("heap of a daemon without requests, B, by daemons", "B", heap);
}

void measureConfiguration()
{
    std::vector<Point> parse;
    std::vector<Point> size;
    std::vector<Point> heap;
    for (const size_t count : {16, 250, 1000, 4000, 12000}) {
        const std::string text = configurationText(count);
        const size_t before = heapBytes();
        Cluster cluster(1);
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        cluster.step(0, ConfigurationReceived{{1}, text});
        parse.push_back({static_cast<double>(count), microsSince(start) / 1000});
        size.push_back({static_cast<double>(count), static_cast<double>(text.size())});
        heap.push_back({static_cast<double>(count), static_cast<double>(heapBytes() - before)});
    }
    printSlope("configuration taken into force, ms, by endpoints", "ms", parse);
    printSlope("configuration text, B, by endpoints", "B", size);
    printSlope("configuration and endpoint table, heap B, by endpoints", "B", heap);
}

void measureEndpointSelection()
{
    std::vector<Point> medians;
    for (const size_t count : {13, 128, 1000, 4000, 12000}) {
        const Configuration configuration = *parseConfiguration(configurationText(count));
        EndpointTable table;
        table.configure(configuration);
        MarkTable marks;
        Random random(3);
        std::vector<double> latenciesUs;
        for (int i = 0; i < 400; ++i) {
            const std::string prompt = fmt::format("{:04}", i % 50) + std::string(4000, 'p');
            const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
            RoutingQuery question{configuration.services[0],
                                  configuration.weights,
                                  PrefixIndex::blockHashes(prompt),
                                  predictedTokens(prompt),
                                  {}};
            const std::optional<uint32_t> index = table.choose(question, marks, TimeMs{1}, random);
            latenciesUs.push_back(microsSince(start));
            table.started(*index, question);
            table.finished(table.at(*index).endpoint.name, question.workTokens);
        }
        std::sort(latenciesUs.begin(), latenciesUs.end());
        medians.push_back({static_cast<double>(count), latenciesUs[latenciesUs.size() / 2]});
        fmt::print("choice among {} endpoints | p50 {:.1f} us | p99 {:.1f} us\n", count,
                   latenciesUs[latenciesUs.size() / 2], latenciesUs[latenciesUs.size() * 99 / 100]);
    }
    printSlope("choice of an endpoint, p50 us, by endpoints", "us", medians);
}

void measureRegister()
{
    std::vector<Point> heap;
    std::vector<Point> time;
    for (const uint64_t count : {1000, 4000, 16000, 64000}) {
        const size_t before = heapBytes();
        OnceRegister registry({1});
        constexpr uint64_t PerSession = 20;
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        for (uint64_t i = 0; i < count; ++i) {
            const uint64_t session = i % PerSession == 0 ? registry.openSession() : i / PerSession + 1;
            OnceQuery question;
            question.key = {{1}, session, i % PerSession + 1, {}};
            question.request = {{2}, i, {}};
            registry.answer(question, {2});
        }
        time.push_back({static_cast<double>(count), microsSince(start) / static_cast<double>(count)});
        heap.push_back(
            {static_cast<double>(registry.recordCount()), static_cast<double>(heapBytes() - before)});
    }
    printSlope("register, heap B, by records (20 to a session)", "B", heap);
    printSlope("register, us a question, by records", "us", time);
}

void measureRequests()
{
    std::vector<Point> tick;
    std::vector<Point> heap;
    for (const uint64_t count : {250, 1000, 4000, 16000}) {
        const size_t before = heapBytes();
        Cluster cluster(1);
        cluster.step(0, ConfigurationReceived{{1}, configurationText(1000)});
        for (uint64_t i = 0; i < count; ++i) {
            RequestSpec spec;
            spec.organisation = {"o"};
            spec.service = {"s"};
            spec.body = std::string(4000, 'b');
            spec.prompt = spec.body;
            cluster.step(0, CallerSubmit{{i + 1}, spec});
        }
        heap.push_back({static_cast<double>(count), static_cast<double>(heapBytes() - before)});
        cluster.resetCounts();
        constexpr int Ticks = 50;
        for (int i = 0; i < Ticks; ++i)
            cluster.step(0, Tick{});
        tick.push_back({static_cast<double>(count), cluster.cpuMicros() / Ticks});
    }
    printSlope("a tick, us, by requests held", "us", tick);
    printSlope("requests with a body of 4 KB, heap B, by requests", "B", heap);
}

} // namespace

int runSlopes()
{
    measureMembership();
    measureConfiguration();
    measureEndpointSelection();
    measureRegister();
    measureRequests();
    return 0;
}

int runSignature()
{
    const Configuration configuration = *parseConfiguration(configurationText(64));
    EndpointTable table;
    table.configure(configuration);
    MarkTable marks;
    Random random(42);
    OnceRegister registry({1});
    registry.openSession();
    std::string decisions;
    for (uint64_t i = 0; i < 20000; ++i) {
        if (i == 5000)
            marks.add({MarkKind::EndpointLeaving, {"i-00000007"}, {}, {}}, TimeMs{0});
        const std::string prompt
            = fmt::format("{:06}", random.below(300)) + std::string(random.below(6000), 'p');
        const RoutingQuery question{configuration.services[0],
                                    configuration.weights,
                                    PrefixIndex::blockHashes(prompt),
                                    predictedTokens(prompt),
                                    {}};
        const std::optional<uint32_t> index
            = table.choose(question, marks, TimeMs{static_cast<int64_t>(i)}, random);
        if (index)
            table.started(*index, question);
        if (index && i % 3 != 0)
            table.finished(table.at(*index).endpoint.name, question.workTokens);
        OnceQuery once;
        once.action = static_cast<OnceAction>(random.below(3));
        once.key = {{1}, 1, 1 + random.below(400), {}};
        once.request = {{2 + random.below(3)}, random.below(50), {}};
        const OnceAnswer answer = registry.answer(once, once.request.owner);
        decisions += static_cast<char>(index.value_or(255));
        decisions += static_cast<char>(answer.verdict);
    }
    fmt::print("signature {:016x}\n", digestOf(decisions));
    return 0;
}

} // namespace cranberry
