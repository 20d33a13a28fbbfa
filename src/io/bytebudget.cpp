#include "io/bytebudget.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cranberry {

bool ByteBudget::take(size_t bytes, size_t total, const std::string &owner, const ByteHolder *self,
                      TimeMs now)
{
    const bool isLarge = total > SmallClaim;
    const size_t most = maxUsed(total);
    const auto owned = byOwner_.find(owner);
    const size_t before = owned == byOwner_.end() ? 0 : owned->second;
    const size_t missing = used_ + bytes > most ? used_ + bytes - most : 0;
    const size_t missingOfOwner
        = isLarge && before + bytes > maxOfOwner() ? before + bytes - maxOfOwner() : 0;
    // Who gives way may be another owner's; then the claim is refused all the same.
    if (std::max(missing, missingOfOwner) > 0 && total <= most)
        makeRoom(std::max(missing, missingOfOwner), self, now);
    const auto left = byOwner_.find(owner);
    const size_t after = left == byOwner_.end() ? 0 : left->second;
    if (used_ + bytes > most || (isLarge && after + bytes > maxOfOwner())) {
        ++counters_.refused;
        return false;
    }
    used_ += bytes;
    byOwner_[owner] += bytes;
    return true;
}

void ByteBudget::takeAnyway(size_t bytes, const std::string &owner, TimeMs now)
{
    used_ += bytes;
    byOwner_[owner] += bytes;
    if (used_ > limit_)
        makeRoom(used_ - limit_, nullptr, now);
}

void ByteBudget::release(size_t bytes, const std::string &owner)
{
    used_ -= bytes;
    const auto owned = byOwner_.find(owner);
    owned->second -= bytes;
    if (owned->second == 0)
        byOwner_.erase(owned);
}

// Returns false, with nothing freed, if the slow holders don't have that many bytes.
bool ByteBudget::makeRoom(size_t missing, const ByteHolder *self, TimeMs now)
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
        const size_t bytes = each.first->heldBytes();
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
