// The ballots that an acceptor has promised for versions of the register, in bounded room.
//
// A promise may be remembered as a higher one, never as a lower one: the only harm is that a writer is outbid
// once more. So where the list is full, the lowest version leaves it, and its ballot counts from then on for
// all versions that are not listed. Against a list that is full and refuses: it was emptied only by a version
// that is accepted, and none could be any more (issue 71).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace petrelpond::consensus {

class PromisedBallots {
  public:
    // Versions are above 0. What stands under this one was promised for all that are not listed.
    static constexpr int64_t kUnlisted = 0;
    static constexpr size_t kMaxListed = 64;  // with kOthers

    using BallotsByVersion = std::map<int64_t, uint64_t>;

    PromisedBallots() = default;
    explicit PromisedBallots(BallotsByVersion listed) : listed_(std::move(listed)) {}

    uint64_t promisedFor(int64_t version) const;  // the highest ballot promised for it; 0: none
    // `held`: the version whose text this disk holds, which stays listed.
    void promise(int64_t version, uint64_t ballot, int64_t heldVersion);
    void forgetBelow(int64_t version);
    // Of each version the higher of both promises.
    void mergeHigher(const PromisedBallots& other, int64_t heldVersion);

    bool isListed(int64_t version) const { return listed_.count(version) > 0; }
    const BallotsByVersion& listed() const { return listed_; }  // as messages and disks carry it

  private:
    uint64_t promisedForUnlisted() const;
    void evictExcess(int64_t heldVersion);

    BallotsByVersion listed_;
};

}  // namespace petrelpond::consensus
