// One limited endpoint and many daemons that all want more than its rate, in virtual time.
#include "common/random.h"
#include "gateway/endpoints/endpointlimiter.h"
#include "gateway/peers/peertable.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <memory>
#include <variant>

using namespace cranberry;

namespace {

constexpr DurationMs Step{25};
constexpr DurationMs AnswerTime{100};
constexpr DurationMs MessageTime{25};
constexpr DurationMs Window{4000};
constexpr DurationMs SettleTime{3000};
constexpr DurationMs NotificationTime{500};
constexpr DurationMs LeaseTime{3000};
constexpr DurationMs ListInterval{600};
constexpr DurationMs CoordinatorInterval{200};
constexpr uint32_t MaxQueued = 20;

const EndpointIncarnation endpoint{EndpointId{"i-1"}, {}};

/// How the daemons keep the endpoint's limit.
enum class LimitStrategy : uint8_t {
    Coordinator, ///< As implemented.
    EqualParts, ///< Each daemon sends an equal part of the rate.
    Uncoordinated ///< Each daemon sends the full rate.
};

struct LimitScenario {
    size_t daemons = 6;
    size_t serving = 6; ///< The others are standby daemons: they get no updates, and have few requests.
    double perSecond = 1;
    double demand = 30; ///< Requests per second that all daemons together would send to the endpoint.
    LimitStrategy strategy = LimitStrategy::Coordinator;
    bool sendsUpdates = true; ///< Daemons send each other limit updates.
    uint64_t lossPercent = 0;
};

/// Simulates a scenario, with the faults that tests inject into its daemons.
class LimitSimulation
{
public:
    LimitSimulation(const LimitScenario &world, uint64_t seed) : world_(world), random_(seed)
    {
        group.resize(world.daemons);
        daemons_.resize(world.daemons);
        for (size_t i = 0; i < world.daemons; ++i)
            start(i);
    }

    void pass(DurationMs duration)
    {
        const TimeMs until = now + duration;
        while (now < until) {
            now = now + Step;
            answer();
            deliver();
            for (size_t i = 0; i < world_.daemons; ++i) {
                if (now >= daemons_[i]->awayUntil)
                    tickDaemon(i);
            }
        }
    }

    void kill(size_t i, DurationMs away)
    {
        start(i);
        daemons_[i]->awayUntil = now + away;
    }
    void freeze(size_t i, DurationMs away) { daemons_[i]->awayUntil = now + away; }
    /// Requests per second that the endpoint got once the limit had settled.
    double usedPerSecond() const { return static_cast<double>(settled_) / std::max(settledSeconds(), 0.001); }
    double allowedInWindow() const { return 1.5 * world_.perSecond * 4 + 5; }

    Random &random() { return random_; }
    TimeMs now{100'000};
    std::vector<uint32_t> group; ///< Daemons receive messages only from those of their own group.
    size_t maxInWindow = 0; ///< Max requests in any window from daemons that had been notified of the limit.
    size_t maxInWindowFromAll = 0; ///< Max requests in any window from all daemons.

private:
    struct Daemon {
        explicit Daemon(const InstanceName &name) : peers(name) { }
        PeerTable peers;
        EndpointLimiter limiter;
        Incarnation incarnation;
        std::optional<Address> coordinator;
        TimeMs coordinatorAt;
        std::optional<TimeMs> notifiedAt;
        TimeMs awayUntil;
        TimeMs listAt;
        TimeMs reportAt;
        TimeMs startedAt;
        uint64_t sequence = 0;
        uint32_t queued = 0;
        double tokens = 0; ///< Token bucket of the strategies without a coordinator.
    };
    struct Answer {
        size_t to = 0;
        TimeMs sentAt;
        TimeMs at;
        Incarnation incarnation;
    };
    using Message = std::variant<PeerReport, LimitNotice, LimitShareRequest, LimitShareGrant>;
    struct Envelope {
        size_t from = 0;
        size_t to = 0;
        TimeMs at;
        Message message;
    };

    bool serves(size_t i) const { return i < world_.serving; }
    static std::string nameOf(size_t i) { return fmt::format("entry-{}", i); }
    Address addressOf(size_t i) const { return {"10.0.0.1", static_cast<uint16_t>(i + 1)}; }
    double settledSeconds() const
    {
        return limitStatedAt_ ? static_cast<double>((now - *limitStatedAt_ - SettleTime).count) / 1000.0 : 0;
    }

    void start(size_t i)
    {
        daemons_[i] = std::make_unique<Daemon>(InstanceName{nameOf(i)});
        daemons_[i]->incarnation.value = ++incarnations_;
        daemons_[i]->startedAt = now;
    }

    void sendMessage(size_t from, const Address &to, const Message &message)
    {
        const size_t index = to.port - 1U;
        if (group[from] == group[index] && random_.below(100) >= world_.lossPercent)
            messages_.push_back({from, index, now + MessageTime, message});
    }

    void deliver()
    {
        while (!messages_.empty() && messages_.front().at <= now) {
            const Envelope envelope = std::move(messages_.front());
            messages_.pop_front();
            Daemon &daemon = *daemons_[envelope.to];
            if (now < daemon.awayUntil)
                continue;
            if (const PeerReport *report = std::get_if<PeerReport>(&envelope.message))
                daemon.peers.take(*report, now);
            else if (const LimitNotice *notice = std::get_if<LimitNotice>(&envelope.message))
                daemon.limiter.stated.updateFromPeer(notice->updates.front(), now);
            else if (const LimitShareRequest *ask = std::get_if<LimitShareRequest>(&envelope.message))
                daemon.limiter.onShareRequest(addressOf(envelope.from), *ask, now);
            else if (const LimitShareGrant *grant = std::get_if<LimitShareGrant>(&envelope.message))
                daemon.limiter.applyGrant(*grant, now);
        }
    }

    void answer()
    {
        while (!answers_.empty() && answers_.front().at <= now) {
            const Answer answer = answers_.front();
            answers_.pop_front();
            Daemon &daemon = *daemons_[answer.to];
            if (now < daemon.awayUntil || daemon.incarnation != answer.incarnation)
                continue;
            if (!daemon.notifiedAt)
                daemon.notifiedAt = now;
            daemon.limiter.stated.updateFromAnswer(RequestRate{world_.perSecond}, answer.sentAt, now);
        }
    }

    void send(size_t i)
    {
        Daemon &daemon = *daemons_[i];
        answers_.push_back({i, now, now + AnswerTime, daemon.incarnation});
        if (!limitStatedAt_)
            limitStatedAt_ = now;
        const bool isNotified = daemon.notifiedAt && now - *daemon.notifiedAt >= NotificationTime;
        arrivals_.emplace_back(now, isNotified);
        while (now - arrivals_.front().first >= Window)
            arrivals_.pop_front();
        if (now - *limitStatedAt_ < SettleTime)
            return;
        ++settled_;
        const auto notifiedCount
            = std::count_if(arrivals_.begin(), arrivals_.end(),
                            [](const std::pair<TimeMs, bool> &each) { return each.second; });
        maxInWindow = std::max(maxInWindow, static_cast<size_t>(notifiedCount));
        maxInWindowFromAll = std::max(maxInWindowFromAll, arrivals_.size());
    }

    void tickDaemon(size_t i)
    {
        Daemon &daemon = *daemons_[i];
        if (now >= daemon.listAt) {
            daemon.listAt = now + ListInterval;
            refreshMembers(daemon);
        }
        const double part = serves(i) ? 0.95 / static_cast<double>(world_.serving)
                                      : 0.05 / static_cast<double>(world_.daemons - world_.serving);
        const double arrivals = world_.demand * part * static_cast<double>(Step.count) / 1000.0;
        const uint64_t chance = static_cast<uint64_t>(arrivals * 1'000'000);
        if (random_.below(1'000'000) < chance && daemon.queued < MaxQueued)
            ++daemon.queued;
        coordinate(i);
        while (daemon.queued > 0 && maySend(daemon)) {
            --daemon.queued;
            daemon.limiter.sent(now);
            daemon.tokens -= 1;
            send(i);
        }
        report(i);
    }

    void refreshMembers(Daemon &daemon) const
    {
        std::vector<MemberEntry> members;
        for (size_t j = 0; j < world_.daemons; ++j) {
            // A killed daemon stays listed until its lease expires.
            const bool isListed = now >= daemons_[j]->awayUntil || now - daemons_[j]->startedAt < LeaseTime;
            if (isListed && (serves(j) || daemons_[j].get() == &daemon))
                members.push_back(
                    {{nameOf(j)}, daemons_[j]->incarnation, {}, {}, addressOf(j), 1, serves(j)});
        }
        daemon.peers.setMembers(std::move(members), now, world_.daemons);
    }

    bool maySend(const Daemon &daemon) const
    {
        if (world_.strategy == LimitStrategy::Coordinator || !daemon.limiter.stated.limit())
            return daemon.limiter.maySend(now);
        return daemon.tokens >= 1;
    }

    void coordinate(size_t i)
    {
        Daemon &daemon = *daemons_[i];
        if (world_.strategy != LimitStrategy::Coordinator) {
            const double part
                = world_.strategy == LimitStrategy::EqualParts ? static_cast<double>(world_.daemons) : 1.0;
            daemon.tokens = std::min(
                1.0, daemon.tokens + world_.perSecond / part * static_cast<double>(Step.count) / 1000);
            return;
        }
        if (!daemon.limiter.isActive())
            return;
        if (now >= daemon.coordinatorAt) {
            daemon.coordinatorAt = now + CoordinatorInterval;
            const MemberEntry *chosen = coordinatorOf(endpoint, daemon.peers.presentServing(now));
            daemon.limiter.setCoordinator(chosen && chosen->incarnation == daemon.incarnation, now);
            daemon.coordinator = chosen ? std::optional<Address>(chosen->peerAddress) : std::nullopt;
        }
        daemon.limiter.setQueuedRequests(daemon.queued);
        for (const EndpointLimiter::Grant &share :
             daemon.limiter.grantShares(endpoint, daemon.incarnation, now))
            sendMessage(i, share.to, share.grant);
        if (daemon.coordinator) {
            if (const std::optional<LimitShareRequest> ask = daemon.limiter.dueShareRequest(endpoint, now))
                sendMessage(i, *daemon.coordinator, *ask);
        }
        if (world_.sendsUpdates && daemon.limiter.stated.isUpdateDue(daemon.limiter.isCoordinator(), now)) {
            for (const MemberEntry *target : daemon.peers.reportTargets())
                sendMessage(i, target->peerAddress,
                            LimitNotice{{daemon.limiter.stated.toUpdate(endpoint, now)}});
        }
    }

    void report(size_t i)
    {
        Daemon &daemon = *daemons_[i];
        if (!serves(i) || now < daemon.reportAt)
            return;
        daemon.reportAt = now + daemon.peers.reportInterval();
        PeerReport report;
        report.incarnation = daemon.incarnation;
        report.sequence = ++daemon.sequence;
        report.ready = true;
        for (const MemberEntry *target : daemon.peers.reportTargets())
            sendMessage(i, target->peerAddress, report);
    }

    const LimitScenario world_;
    Random random_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    uint64_t incarnations_ = 0;
    std::deque<Envelope> messages_;
    std::deque<Answer> answers_;
    /// Requests in the newest window; true: from a daemon that had been notified of the limit.
    std::deque<std::pair<TimeMs, bool>> arrivals_;
    std::optional<TimeMs> limitStatedAt_;
    size_t settled_ = 0;
};

LimitScenario scenarioOf(size_t daemons, size_t serving, double perSecond)
{
    LimitScenario world;
    world.daemons = daemons;
    world.serving = serving;
    world.perSecond = perSecond;
    world.demand = std::max(30.0, 3 * perSecond);
    return world;
}

} // namespace

// Guards against a sum over many daemons, with or without updates between them, that exceeds the endpoint's
// limit.
TEST_CASE("the sum over all daemons stays within the limit, however many they are")
{
    struct Size {
        size_t daemons;
        size_t serving;
    };
    for (const Size size :
         {Size{2, 2}, Size{19, 19}, Size{71, 71}, Size{71, 18}, Size{295, 18}, Size{890, 18}}) {
        for (const double perSecond : {0.1, 1.0, 20.0}) {
            for (const bool tells : {true, false}) {
                LimitScenario world = scenarioOf(size.daemons, size.serving, perSecond);
                world.sendsUpdates = tells;
                LimitSimulation play(world, 1);
                play.pass({20000});
                INFO(fmt::format(
                    "{} daemons, {} serving, {}/s, updates: {}, max {} (from all {}), {:.2f} used",
                    size.daemons, size.serving, perSecond, tells, play.maxInWindow, play.maxInWindowFromAll,
                    play.usedPerSecond()));
                CHECK(static_cast<double>(play.maxInWindow) <= play.allowedInWindow());
            }
        }
    }
}

// Guards against a limited endpoint that gets only a small part of its rate.
TEST_CASE("the endpoint's rate is used, however many daemons there are")
{
    for (const size_t daemons : {2, 19, 71}) {
        LimitSimulation play(scenarioOf(daemons, daemons, 2), 1);
        play.pass({30000});
        INFO(daemons << " daemons, used " << play.usedPerSecond());
        CHECK(play.usedPerSecond() > 1.6);
        CHECK(play.usedPerSecond() < 2.2);
    }
}

// Guards against network partitions, kills, process pauses and lost datagrams after which two daemons both
// grant the full rate.
TEST_CASE("the limit holds through partitions, kills, pauses and losses")
{
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        LimitScenario world = scenarioOf(6, 6, seed % 3 == 0 ? 10 : 1);
        world.lossPercent = seed % 4 * 10;
        LimitSimulation play(world, seed);
        play.pass({6000});
        for (int i = 0; i < 8; ++i) {
            const size_t which = play.random().below(6);
            const DurationMs away{static_cast<int64_t>(500 + play.random().below(5000))};
            switch (play.random().below(4)) {
            case 0:
                play.kill(which, away);
                break;
            case 1:
                play.freeze(which, away);
                break;
            case 2:
                for (uint32_t &each : play.group)
                    each = static_cast<uint32_t>(play.random().below(2));
                break;
            default:
                std::fill(play.group.begin(), play.group.end(), 0);
                break;
            }
            play.pass({static_cast<int64_t>(200 + play.random().below(4000))});
        }
        INFO("seed " << seed << " max " << play.maxInWindow);
        CHECK(static_cast<double>(play.maxInWindow) <= play.allowedInWindow());
    }
}

// Guards against splitting or copying the rate to each daemon: most of it is unused, or the sum exceeds it.
TEST_CASE("neither equal parts nor uncoordinated daemons keep one request a second over many daemons")
{
    const auto simulate = [](LimitStrategy way) {
        LimitScenario world = scenarioOf(19, 19, 1);
        world.strategy = way;
        LimitSimulation play(world, 1);
        play.pass({40000});
        return play;
    };
    const LimitSimulation coordinated = simulate(LimitStrategy::Coordinator);
    CHECK(coordinated.usedPerSecond() > 0.95);
    CHECK(static_cast<double>(coordinated.maxInWindow) <= coordinated.allowedInWindow());
    CHECK(simulate(LimitStrategy::EqualParts).usedPerSecond() < 0.7);
    const LimitSimulation each = simulate(LimitStrategy::Uncoordinated);
    CHECK(static_cast<double>(each.maxInWindow) > each.allowedInWindow());
}
