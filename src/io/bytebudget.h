#pragma once

#include "common/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

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

} // namespace cranberry
