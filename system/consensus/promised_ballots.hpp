// The ballots that an acceptor has promised for versions of the register, in bounded space.
//
// A promise may be remembered as a higher one but never as a lower one; the only drawback is that a writer is
// outbid once more. So when the list is full, its lowest version is evicted and that ballot counts from then
// on for every unlisted version. A list that refused new versions when full stopped the register: only
// accepting a version emptied it, and none could be accepted any more (issue 71).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace petrelpond::consensus {

// Maps versions to promised ballots. The promise for a version never decreases until forgetBelow() drops it.
class PromisedBallots {
  public:
    // Versions are above 0. The entry under this key was promised for all unlisted versions.
    static constexpr int64_t kUnlisted = 0;
    static constexpr size_t kMaxListed = 64;  // entries, including kUnlisted

    using BallotsByVersion = std::map<int64_t, uint64_t>;

    PromisedBallots() = default;
    explicit PromisedBallots(BallotsByVersion listed) : listed_(std::move(listed)) {}

    uint64_t promisedFor(int64_t version) const;  // the highest ballot promised for this version; 0: none
    // `heldVersion` is the version whose text is on this disk; it stays listed.
    void promise(int64_t version, uint64_t ballot, int64_t heldVersion);
    // Drops the listed promises below `version`; the one for unlisted versions stays.
    void forgetBelow(int64_t version);
    // Takes the higher promise of both for each version.
    void mergeHigher(const PromisedBallots& other, int64_t heldVersion);

    bool isListed(int64_t version) const { return listed_.count(version) > 0; }
    const BallotsByVersion& listed() const { return listed_; }  // as sent in messages and stored on disk

  private:
    uint64_t promisedForUnlisted() const;
    void evictExcess(int64_t heldVersion);

    BallotsByVersion listed_;
};

}  // namespace petrelpond::consensus
