#include "system/consensus/promised_ballots.hpp"

#include <algorithm>
#include <utility>

namespace petrelpond::consensus {

uint64_t PromisedBallots::promisedForUnlisted() const {
    const auto found = listed_.find(kUnlisted);
    return found == listed_.end() ? 0 : found->second;
}

uint64_t PromisedBallots::promisedFor(int64_t version) const {
    const auto found = listed_.find(version);
    return found == listed_.end() ? promisedForUnlisted() : found->second;
}

void PromisedBallots::promise(int64_t version, uint64_t ballot, int64_t heldVersion) {
    listed_[version] = ballot;
    evictExcess(heldVersion);
}

void PromisedBallots::forgetBelow(int64_t version) {
    const uint64_t forUnlisted = promisedForUnlisted();
    listed_.erase(listed_.begin(), listed_.lower_bound(version));
    if (forUnlisted > 0) listed_[kUnlisted] = forUnlisted;
}

void PromisedBallots::mergeHigher(const PromisedBallots& other, int64_t heldVersion) {
    BallotsByVersion merged;
    for (const BallotsByVersion* each : {&std::as_const(listed_), &other.listed_}) {
        for (const auto& [version, ballot] : *each)
            merged[version] = std::max(promisedFor(version), other.promisedFor(version));
    }
    listed_ = std::move(merged);
    evictExcess(heldVersion);
}

void PromisedBallots::evictExcess(int64_t heldVersion) {
    while (listed_.size() > kMaxListed) {
        auto lowest = listed_.upper_bound(kUnlisted);
        if (lowest->first == heldVersion) ++lowest;
        const uint64_t ballot = lowest->second;
        listed_.erase(lowest);
        listed_[kUnlisted] = std::max(promisedForUnlisted(), ballot);
    }
}

}  // namespace petrelpond::consensus
