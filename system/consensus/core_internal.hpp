// Helpers that the parts of Core share.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "system/consensus/core.hpp"

namespace petrelpond::consensus {

// A core that is no voter is forgotten after so long a silence, else each replaced machine would be tried for
// ever; and others are told of it for half of that, so that it is not learned again from one that forgets it
// later. Harm: one that was away for longer has to say hello itself.
inline const Span kForgetPeerAfter = Span::seconds(120);
inline const Span kAnnouncePeerFor = Span::seconds(60);

// In heartbeats. A change of the voters is rare and is waited for by a member that leaves, so what is lost of
// it is sent again soon.
constexpr double kRetryHeartbeats = 0.4;
constexpr double kReachableHeartbeats = 3;

inline const NodeId kNoCandidate = "-";  // a vote that is used up and went to no one

inline ValueHeader headerOf(const std::shared_ptr<const Value>& v) {
    return v ? ValueHeader{v->version, v->ballot, v->digest} : ValueHeader{};
}

inline bool isSameContent(const ValueHeader& a, const ValueHeader& b) {
    return a.version == b.version && a.digest == b.digest && a.version > 0;
}

// Whether a disk holds the text that is known to be chosen, or a higher version.
inline bool holdsAtLeast(const ValueHeader& disk, const ValueHeader& chosen) {
    return disk.version > chosen.version || chosen.version == 0 || isSameContent(disk, chosen);
}

inline void sortUnique(std::vector<NodeId>& nodes) {
    std::sort(nodes.begin(), nodes.end());
    nodes.erase(std::unique(nodes.begin(), nodes.end()), nodes.end());
}

inline bool contains(const std::vector<NodeId>& sorted, const NodeId& n) {
    return std::binary_search(sorted.begin(), sorted.end(), n);
}

// A machine together with the disk that is meant, as it is written in offers of a set of voters.
inline std::string withDiskId(const NodeId& n, uint64_t diskId) { return n + "#" + std::to_string(diskId); }

// How long a ballot for the duty may gather votes, at most. Shorter than `leaseDuration`, so that what it
// wins still has some validity, and over before a voter that lost its disk votes again.
inline Span electionTimeout(const Options& o) { return o.leaseDuration * 0.5; }

// What a core that lost its disk waits for before it asks the others, and why it may then take part again.
//
// Claim: what a majority has promised is still promised by a majority, however many disks are lost.
//  - All that counts somebody's answers (a write, a read, a vote, a beat, a ballot on the voters) ends at
//  the
//    latest `operationTimeout` or `leaseDuration` after it began, by the clock of who counts. An answer that
//    this core gave in its earlier life belongs to something begun before the loss; after the wait below (a
//    quarter more than either, for clocks of different rates) it counts nowhere any more: either it is done,
//    or it never will be done with that answer.
//  - Only then do we ask. A majority Q of the voters, not counting us and nobody who still recovers, answers.
//    Whatever was done with a majority M shares a member with Q. That member either kept its disk since, and
//    holds it; or it lost it and recovered before it answered Q, thus by this same argument (on the order of
//    recoveries) it holds it or something newer. So we end up with all that was done; and what was promised
//    but is not done has ended. A vote in a term t of ours that Q doesn't know of was for a ballot that is
//    over: voting again in t is harmless. We still use up the highest term that Q knows, for it may be won
//    by now.
//  - Q exists as long as N - losses >= majority: 3 - 1 >= 2, 5 - 1 >= 3, 5 - 2 >= 3, 9 - 2 >= 5. With more
//    losses nobody recovers, but nothing is forgotten silently.
// The same holds for the agreement on the voters, with the electors in place of the voters, as long as the
// voters are not known: but that alone makes us an elector (`elects`), no member. A value is only ever saved
// together with the voters, so those who hold a value know the voters. Once it is known the agreement is
// never run again. It harms by its length: 1.5 s in which a returned machine counts nowhere.
inline Span recoveryDelay(const Options& o) { return std::max(o.operationTimeout, o.leaseDuration) * 1.25; }

}  // namespace petrelpond::consensus
