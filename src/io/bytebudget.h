#pragma once

#include "common/clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cranberry {

/// Somebody whose bytes can be freed at once.
class ByteHolder
{
public:
    virtual ~ByteHolder() = default;
    virtual size_t heldBytes() const = 0;
    /// Those of them that count as this owner's.
    virtual size_t heldFor(const std::string &owner) const = 0;
    /// Frees what it holds, before it returns.
    virtual void giveWay() = 0;
};

/// Bytes that a process keeps for its clients: one sum for all of its servers, with a bound.
///
/// A bound for each client doesn't bound many of them, and a full process serves nobody. When a claim does
/// not fit, holders that have made no progress for a while give way, those with the most bytes for the
/// longest time first. If that does not make enough room, nobody gives way and the claim is refused. A part
/// is left to small claims, and no owner gets all of the room for large ones.
class ByteBudget
{
public:
    /// A claim of at most this size may take the last quarter, too.
    static constexpr size_t SmallClaim = 64U << 10;
    /// A holder that made progress more recently does not give way.
    static constexpr DurationMs MinSlowTime{100};

    struct Counters {
        uint64_t refused = 0;
        uint64_t gaveWay = 0;
    };

    explicit ByteBudget(size_t limit) : limit_(limit) { }

    size_t limit() const { return limit_; }
    size_t used() const { return used_; }
    const Counters &counters() const { return counters_; }
    /// Returns whether a claim of this size is granted when nothing else is held.
    bool canEverFit(size_t bytes) const { return bytes <= maxUsed(bytes) && bytes <= maxOfOwner(); }

    /// The holder may be told to give way; `since` is when it made its newest progress.
    void setYielding(ByteHolder &holder, TimeMs since) { yielding_[&holder] = since; }
    void clearYielding(ByteHolder &holder) { yielding_.erase(&holder); }

private:
    friend class ByteClaim;
    using Owner = std::optional<std::string>; ///< Nothing: the bytes count for the sum alone.

    /// Makes room if necessary. `total` is the size of the claim with these bytes, `self` does not give way.
    bool take(size_t bytes, size_t total, const Owner &owner, const ByteHolder *self, TimeMs now);
    /// Takes bytes that exist already, and makes as much room as it can.
    void takeAnyway(size_t bytes, const Owner &owner, TimeMs now);
    void add(size_t bytes, const Owner &owner);
    void release(size_t bytes, const Owner &owner);
    /// With an owner, only its holders give way.
    bool makeRoom(size_t missing, const Owner &owner, const ByteHolder *self, TimeMs now);
    size_t heldBy(const std::string &owner) const;

    size_t maxUsed(size_t claim) const { return claim <= SmallClaim ? limit_ : limit_ / 4 * 3; }
    size_t maxOfOwner() const { return limit_ / 2; }
    static size_t excess(size_t sum, size_t limit) { return sum > limit ? sum - limit : 0; }

    size_t limit_;
    size_t used_ = 0;
    std::map<std::string, size_t> byOwner_;
    std::map<ByteHolder *, TimeMs> yielding_;
    Counters counters_;
};

using ByteBudgetPtr = std::shared_ptr<ByteBudget>;

/// Bytes of a budget, released when the claim ends.
class ByteClaim
{
public:
    ByteClaim() = default; ///< Of no budget: everything is granted.
    /// Without an owner, the bytes count for the sum alone.
    explicit ByteClaim(ByteBudgetPtr budget, std::optional<std::string> owner = std::nullopt)
        : budget_(std::move(budget)), owner_(std::move(owner))
    { }
    ~ByteClaim() { release(); }

    /// Grows the claim to `bytes`, at the expense of other holders if necessary. Returns false, and changes
    /// nothing, if there is no room.
    bool growTo(size_t bytes, const ByteHolder *self, TimeMs now);
    /// For bytes that exist already.
    void set(size_t bytes, TimeMs now);
    void release();
    size_t bytes() const { return bytes_; }
    size_t bytesOf(const std::string &owner) const { return owner_ == owner ? bytes_ : 0; }

    ByteClaim(ByteClaim &&other) noexcept { *this = std::move(other); }
    ByteClaim &operator=(ByteClaim &&other) noexcept;
    ByteClaim(const ByteClaim &) = delete;
    ByteClaim &operator=(const ByteClaim &) = delete;

private:
    ByteBudgetPtr budget_;
    std::optional<std::string> owner_;
    size_t bytes_ = 0;
};

// ---- Implementation, inline: the HTTP server and client need no further source ----

inline size_t ByteBudget::heldBy(const std::string &owner) const
{
    const auto found = byOwner_.find(owner);
    return found == byOwner_.end() ? 0 : found->second;
}

// An owner that has its part can only make room with bytes of its own.
inline bool ByteBudget::take(size_t bytes, size_t total, const Owner &owner, const ByteHolder *self,
                             TimeMs now)
{
    const size_t most = maxUsed(total);
    const size_t mostOfOwner = owner && total > SmallClaim ? maxOfOwner() : limit_;
    bool fits = total <= std::min(most, mostOfOwner);
    if (const size_t missing = owner ? excess(heldBy(*owner) + bytes, mostOfOwner) : 0; fits && missing > 0)
        fits = makeRoom(missing, owner, self, now);
    if (const size_t missing = excess(used_ + bytes, most); fits && missing > 0)
        fits = makeRoom(missing, std::nullopt, self, now);
    if (!fits) {
        ++counters_.refused;
        return false;
    }
    add(bytes, owner);
    return true;
}

inline void ByteBudget::takeAnyway(size_t bytes, const Owner &owner, TimeMs now)
{
    add(bytes, owner);
    if (used_ > limit_)
        makeRoom(used_ - limit_, std::nullopt, nullptr, now);
}

inline void ByteBudget::add(size_t bytes, const Owner &owner)
{
    used_ += bytes;
    if (owner)
        byOwner_[*owner] += bytes;
}

inline void ByteBudget::release(size_t bytes, const Owner &owner)
{
    used_ -= bytes;
    if (!owner)
        return;
    const auto owned = byOwner_.find(*owner);
    owned->second -= bytes;
    if (owned->second == 0)
        byOwner_.erase(owned);
}

// Returns false, with nothing freed, if the slow holders don't have that many bytes.
inline bool ByteBudget::makeRoom(size_t missing, const Owner &owner, const ByteHolder *self, TimeMs now)
{
    struct Candidate {
        ByteHolder *holder;
        size_t bytes;
        int64_t cost; ///< Bytes times milliseconds.
    };
    std::vector<Candidate> candidates;
    size_t sum = 0;
    for (const std::pair<ByteHolder *const, TimeMs> &each : yielding_) {
        const DurationMs slowFor = now - each.second;
        const size_t bytes = owner ? each.first->heldFor(*owner) : each.first->heldBytes();
        if (each.first == self || slowFor < MinSlowTime || bytes == 0)
            continue;
        candidates.push_back({each.first, bytes, static_cast<int64_t>(bytes) * slowFor.count});
        sum += bytes;
    }
    if (sum < missing)
        return false;
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.cost > b.cost; });
    size_t freed = 0;
    for (const Candidate &each : candidates) {
        if (freed >= missing)
            break;
        // One that gives way may end others.
        if (!yielding_.contains(each.holder))
            continue;
        ++counters_.gaveWay;
        freed += each.bytes;
        yielding_.erase(each.holder);
        each.holder->giveWay();
    }
    return true;
}

inline bool ByteClaim::growTo(size_t bytes, const ByteHolder *self, TimeMs now)
{
    if (bytes <= bytes_)
        return true;
    if (budget_ && !budget_->take(bytes - bytes_, bytes, owner_, self, now))
        return false;
    bytes_ = bytes;
    return true;
}

inline void ByteClaim::set(size_t bytes, TimeMs now)
{
    const size_t before = std::exchange(bytes_, bytes);
    if (!budget_)
        return;
    if (bytes > before)
        budget_->takeAnyway(bytes - before, owner_, now);
    else if (bytes < before)
        budget_->release(before - bytes, owner_);
}

inline void ByteClaim::release()
{
    const size_t before = std::exchange(bytes_, 0);
    if (budget_ && before > 0)
        budget_->release(before, owner_);
}

inline ByteClaim &ByteClaim::operator=(ByteClaim &&other) noexcept
{
    if (this != &other) {
        release();
        budget_ = std::move(other.budget_);
        owner_ = std::move(other.owner_);
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

} // namespace cranberry
