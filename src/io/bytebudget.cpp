#include "io/bytebudget.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cranberry {

namespace {

size_t excess(size_t sum, size_t limit)
{
    return sum > limit ? sum - limit : 0;
}

} // namespace

size_t ByteBudget::heldBy(const std::string &owner) const
{
    const auto found = byOwner_.find(owner);
    return found == byOwner_.end() ? 0 : found->second;
}

// An owner that has its part can only make room with bytes of its own.
bool ByteBudget::take(size_t bytes, size_t total, const Owner &owner, const ByteHolder *self, TimeMs now)
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

void ByteBudget::takeAnyway(size_t bytes, const Owner &owner, TimeMs now)
{
    add(bytes, owner);
    if (used_ > limit_)
        makeRoom(used_ - limit_, std::nullopt, nullptr, now);
}

void ByteBudget::add(size_t bytes, const Owner &owner)
{
    used_ += bytes;
    if (owner)
        byOwner_[*owner] += bytes;
}

void ByteBudget::release(size_t bytes, const Owner &owner)
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
bool ByteBudget::makeRoom(size_t missing, const Owner &owner, const ByteHolder *self, TimeMs now)
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

bool ByteClaim::growTo(size_t bytes, const ByteHolder *self, TimeMs now)
{
    if (bytes <= bytes_)
        return true;
    if (budget_ && !budget_->take(bytes - bytes_, bytes, owner_, self, now))
        return false;
    bytes_ = bytes;
    return true;
}

void ByteClaim::set(size_t bytes, TimeMs now)
{
    const size_t before = std::exchange(bytes_, bytes);
    if (!budget_)
        return;
    if (bytes > before)
        budget_->takeAnyway(bytes - before, owner_, now);
    else if (bytes < before)
        budget_->release(before - bytes, owner_);
}

void ByteClaim::release()
{
    const size_t before = std::exchange(bytes_, 0);
    if (budget_ && before > 0)
        budget_->release(before, owner_);
}

ByteClaim &ByteClaim::operator=(ByteClaim &&other) noexcept
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
