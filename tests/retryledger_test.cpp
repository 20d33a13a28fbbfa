// The pool of retries in the store, from which daemons draw.

#include "fakestore.h"

#include "gateway/requests/retryledger.h"

#include <doctest/doctest.h>
#include <memory>

using namespace cranberry;

namespace {

const ServiceName service{"model"};
constexpr DurationMs Step{20};

/// Daemons that draw and are killed, in virtual time.
class LedgerPlay
{
public:
    LedgerPlay(size_t daemons, double slack, uint64_t seed) : store(seed), random_(seed)
    {
        limits_.slack = slack;
        for (size_t i = 0; i < daemons; ++i)
            start(i);
    }
    void start(size_t i)
    {
        daemons_.resize(std::max(daemons_.size(), i + 1));
        daemons_[i].ledger = std::make_unique<RetryLedger>(random_.below(1'000'000));
        daemons_[i].ledger->setLimits(limits_);
        daemons_[i].client = ++clients_;
    }
    /// Some daemons draw, and some of a hundred are killed.
    void step(uint64_t drawingPercent, uint64_t killedPercent)
    {
        now = now + Step;
        for (size_t i = 0; i < daemons_.size(); ++i) {
            if (random_.below(100) < killedPercent)
                start(i);
            if (random_.below(100) < drawingPercent)
                draw(i);
        }
        deliver();
    }
    bool draw(size_t i, uint32_t units = 0)
    {
        const uint32_t wanted = units > 0 ? units : static_cast<uint32_t>(1 + random_.below(12));
        const bool out = daemons_[i].ledger->draw(service, wanted, {0, now.count}, now);
        submit(i);
        return out;
    }
    void deliver()
    {
        for (const std::pair<size_t, StoreReply> &reply : store.replies(now)) {
            for (size_t i = 0; i < daemons_.size(); ++i) {
                if (daemons_[i].client != reply.first)
                    continue;
                if (const std::optional<RetryLedger::Drawn> drawn
                    = daemons_[i].ledger->onStoreReply(reply.second, now))
                    units.emplace_back(now, drawn->units);
                submit(i);
            }
        }
    }
    uint32_t mostInWindow() const
    {
        uint32_t most = 0;
        for (const std::pair<TimeMs, uint32_t> &end : units) {
            uint32_t sum = 0;
            for (const std::pair<TimeMs, uint32_t> &each : units)
                sum += each.first <= end.first && end.first - each.first < limits_.window ? each.second : 0;
            most = std::max(most, sum);
        }
        return most;
    }

    TimeMs now{1'000'000};
    FakeStore store;
    std::vector<std::pair<TimeMs, uint32_t>> units; ///< Drawn.

private:
    void submit(size_t i)
    {
        for (const StoreCall &call : daemons_[i].ledger->takeStoreCalls())
            store.submit(daemons_[i].client, call, now);
    }

    struct Daemon {
        std::unique_ptr<RetryLedger> ledger;
        size_t client = 0;
    };
    Random random_;
    GatewayRetryLimits limits_;
    std::vector<Daemon> daemons_;
    size_t clients_ = 0;
};

} // namespace

TEST_CASE("draws stay within the pool, whoever is killed and whatever the store loses, delays or refuses")
{
    for (const std::pair<size_t, double> &size :
         {std::pair{size_t{6}, 52.0}, {size_t{84}, 208.0}, {size_t{985}, 1040.0}}) {
        for (uint64_t seed = 1; seed <= 6; ++seed) {
            LedgerPlay play(size.first, size.second, seed);
            play.store.faults.latePercent = 5 * (seed % 3);
            play.store.faults.loseReplyPercent = 10 * (seed % 2);
            play.store.faults.writesPerSecond = seed == 4 ? 100 : 0;
            for (int i = 0; i < 700; ++i) {
                play.store.faults.down = seed == 5 && i > 200 && i < 400;
                play.step(seed == 6 ? 100 : 3, seed);
            }
            const double pool = PooledFraction * size.second;
            CHECK(play.mostInWindow() <= pool);
            CHECK(play.mostInWindow() >= pool / 3);
        }
    }
}

TEST_CASE("a draw whose reply is lost is not used, and is not drawn a second time")
{
    LedgerPlay play(1, 25, 1);
    play.store.faults.loseReplyPercent = 100;
    CHECK(play.draw(0, 4));
    for (int i = 0; i < 80; ++i)
        play.step(0, 0);
    CHECK(play.mostInWindow() == 0);
    play.store.faults.loseReplyPercent = 0;
    CHECK(play.draw(0, 12));
    for (int i = 0; i < 10; ++i)
        play.step(0, 0);
    CHECK(play.mostInWindow() == 8); // Of 12 in the pool.
}

TEST_CASE("text of the pool that can't be read is replaced")
{
    for (const char *text : {"", "{", "[]", R"({"draws":5})", R"({"draws":[[1],"x",{}],"requests":-1})"}) {
        LedgerPlay play(1, 25, 1);
        play.store.put(StoreSpace::Archive, "retries.model.0", text);
        CHECK(play.draw(0, 4));
        for (int i = 0; i < 10; ++i)
            play.step(0, 0);
        CHECK(play.mostInWindow() == 4);
    }
}

TEST_CASE("nothing is drawn for a window once the store came back older")
{
    // The copy lacks draws that are still in the window.
    LedgerPlay play(1, 25, 1);
    play.store.saveCopy();
    play.draw(0, 12);
    play.step(0, 0);
    play.store.comeBackFromCopy();
    for (int i = 0; i < 450; ++i) {
        play.draw(0, 12);
        play.step(0, 0);
    }
    CHECK(play.mostInWindow() == 12);
}
