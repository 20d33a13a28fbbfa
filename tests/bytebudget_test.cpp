#include "io/bytebudget.h"
#include "io/processlimits.h"

#include <doctest/doctest.h>
#include <vector>

using namespace cranberry;

namespace {

constexpr size_t Limit = 1U << 20;
constexpr size_t Large = 256U << 10;
constexpr TimeMs Start{1000};
constexpr TimeMs Later = Start + ByteBudget::MinSlowTime;

/// Holds a claim until it gives way.
struct Holder : ByteHolder {
    Holder(const ByteBudgetPtr &budget, std::string owner) : claim(budget, std::move(owner)) { }
    size_t heldBytes() const override { return claim.bytes(); }
    size_t heldFor(const std::string &owner) const override { return claim.bytesOf(owner); }
    void giveWay() override
    {
        gaveWay = true;
        claim.release();
    }
    bool grow(size_t bytes, TimeMs now) { return claim.growTo(bytes, this, now); }

    ByteClaim claim;
    bool gaveWay = false;
};

struct Fixture {
    ByteBudgetPtr budget = std::make_shared<ByteBudget>(Limit);
    Holder slow{budget, "a"};
    Holder larger{budget, "b"};
    Holder newest{budget, "c"};
};

} // namespace

// Guards against a sum without a bound: each claim may be small.
TEST_CASE("claims are granted up to the limit, and again once others are released")
{
    Fixture f;
    std::vector<std::unique_ptr<Holder>> holders;
    while (holders.size() < 100) {
        holders.push_back(std::make_unique<Holder>(f.budget, "a"));
        if (!holders.back()->grow(ByteBudget::SmallClaim, Start))
            break;
    }
    CHECK(f.budget->used() <= Limit);
    CHECK(holders.size() == 1 + Limit / ByteBudget::SmallClaim);
    CHECK(f.budget->counters().refused == 1);
    holders.front().reset();
    CHECK(holders.back()->grow(ByteBudget::SmallClaim, Start));
    holders.clear();
    CHECK(f.budget->used() == 0);
}

// Guards against requests that starve behind bodies that stop short of their end.
TEST_CASE("who has the most bytes for the longest time without progress gives way first")
{
    Fixture f;
    CHECK(f.slow.grow(Large, Start));
    CHECK(f.larger.grow(2 * Large, Start));
    f.budget->setYielding(f.slow, Start);
    f.budget->setYielding(f.larger, Start);
    CHECK(!f.newest.grow(Large, Start)); // Both have just made progress.
    CHECK(f.newest.grow(Large, Later));
    CHECK(f.larger.gaveWay);
    CHECK(!f.slow.gaveWay);
}

// Guards against holders that are ended without anybody being served for it.
TEST_CASE("nobody gives way to a claim that does not fit even then")
{
    Fixture f;
    CHECK(f.slow.grow(Large, Start));
    CHECK(f.larger.grow(2 * Large, Start)); // Does not yield: it is being served.
    f.budget->setYielding(f.slow, Start);
    CHECK(!f.newest.grow(2 * Large, Later));
    CHECK(!f.slow.gaveWay);
    CHECK(f.budget->used() == 3 * Large);
}

// Guards against small requests that starve behind large ones, and organisations behind one.
TEST_CASE("a part is left to small claims, and to other owners")
{
    Fixture f;
    CHECK(f.slow.grow(2 * Large, Start));
    Holder same{f.budget, "a"};
    CHECK(!same.grow(Large, Later));
    CHECK(f.larger.grow(Large, Start));
    CHECK(!f.newest.grow(ByteBudget::SmallClaim + 1, Later));
    CHECK(f.newest.grow(ByteBudget::SmallClaim, Later));
    CHECK(same.grow(ByteBudget::SmallClaim, Later));
}

// Guards against an organisation that has its part and ends the requests of others for more.
TEST_CASE("an owner that has its part makes room with its own holders alone")
{
    Fixture f;
    Holder first{f.budget, "a"};
    CHECK(f.larger.grow(Large, Start));
    CHECK(f.slow.grow(Large, Start));
    CHECK(first.grow(Large, Start));
    f.budget->setYielding(f.larger, TimeMs{0});
    f.budget->setYielding(f.slow, Start);
    Holder second{f.budget, "a"};
    CHECK(second.grow(Large, Later));
    CHECK(f.slow.gaveWay);
    CHECK(!f.larger.gaveWay);
    Holder third{f.budget, "a"};
    CHECK(!third.grow(Large, Later));
    CHECK(!f.larger.gaveWay);
}

// Guards against callers without a key that get no room for bodies because of what connections need.
TEST_CASE("bytes without an owner are no part of an owner's")
{
    Fixture f;
    ByteClaim connections(f.budget);
    CHECK(connections.growTo(Large, nullptr, Start));
    Holder keyless{f.budget, ""};
    CHECK(keyless.grow(2 * Large, Start));
    CHECK(!f.newest.grow(Large, Start)); // The sum is full.
}

TEST_CASE("bytes that exist already are counted, and others give way to them")
{
    Fixture f;
    CHECK(f.slow.grow(2 * Large, Start));
    f.budget->setYielding(f.slow, Start);
    f.newest.claim.set(3 * Large, Later);
    CHECK(f.slow.gaveWay);
    CHECK(f.budget->used() == 3 * Large);
    f.newest.claim.set(Large, Later);
    CHECK(f.budget->used() == Large);
}

// Guards against a daemon that refuses a single request inside the callers' limits on the smallest instance.
TEST_CASE("the smallest instance has room for a body of 4 MiB and descriptors for endpoints")
{
    const ProcessLimits limits = findProcessLimits(120, 1000);
    const ByteBudget budget(clientBytes(limits));
    CHECK(budget.limit() < limits.memoryBytes);
    CHECK(budget.canEverFit(4U << 20));
    CHECK(!budget.canEverFit(limits.memoryBytes));
    const ConnectionLimits connections = connectionLimits(limits);
    CHECK(2 * (connections.callers + connections.relay + connections.other) + connections.entry
          < limits.descriptors - 200);
    CHECK(connections.callers >= 100);
    CHECK(connections.other >= 8);
}
