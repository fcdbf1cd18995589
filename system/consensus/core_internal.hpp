// Helpers shared by the source files that implement Core.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "system/consensus/core.hpp"

namespace petrelpond::consensus {

// A silent core that is not a voter is forgotten after kForgetPeerAfter; otherwise every replaced machine
// would be contacted forever. It is announced to others for half of that time only, so that nobody learns it
// again from a core that forgets it later. Drawback: a core that was away for longer has to send the first
// hello itself.
inline const Span kForgetPeerAfter = Span::seconds(120);
inline const Span kAnnouncePeerFor = Span::seconds(60);

// In heartbeat intervals. Lost messages of a change of the voters are resent soon: a change is rare, and a
// member that shuts down waits for it.
constexpr double kRetryHeartbeats = 0.4;
constexpr double kReachableHeartbeats = 3;

inline const NodeId kNoCandidate = "-";  // votedFor of a term in which no vote may be given any more

inline ValueHeader headerOf(const std::shared_ptr<const Value>& v) {
    return v ? ValueHeader{v->version, v->ballot, v->digest} : ValueHeader{};
}

inline bool isSameContent(const ValueHeader& a, const ValueHeader& b) {
    return a.version == b.version && a.digest == b.digest && a.version > 0;
}

// Whether a disk holds the chosen value or a higher version.
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

// The node and its disk as written in offers of a set of voters: ip#diskId.
inline std::string withDiskId(const NodeId& n, uint64_t diskId) { return n + "#" + std::to_string(diskId); }

// The longest time that a candidate gathers votes. Shorter than leaseDuration, so that a lease won at its end
// is still valid for a while, and over before a voter that lost its disk votes again.
inline Span electionTimeout(const Options& o) { return o.leaseDuration * 0.5; }

// How long a core that lost its disk waits before it asks the other cores, and why it may act as a voter
// again after a majority has replied.
//
// Invariant: whatever a majority has promised is still promised by a majority, however many disks are lost.
// - Everything that counts replies (a write, a read, a vote, a heartbeat, a ballot on the voters) ends at the
//   latest operationTimeout or leaseDuration after it began, by the clock of the core that counts. A reply
//   that this core sent before the loss belongs to an operation begun before the loss. After the delay below,
//   a quarter longer than either to allow for different clock rates, that reply no longer counts anywhere:
//   the operation is done, or it will never be done with that reply.
// - Only then does this core ask. A majority Q of the voters replies, not counting this core or any core that
//   is still recovering. Whatever was done with a majority M shares a member with Q. That member either has
//   kept its disk and holds the result, or it lost its disk and recovered before it replied; by induction
//   over the recoveries it then holds the result or something newer. So this core learns everything that was
//   done, and operations that were promised but not done have ended. If it voted in a term t that Q does not
//   know, that election is over and voting again in t is harmless. It still uses up the highest term that Q
//   knows, which may have been won meanwhile.
// - Q exists as long as N - losses >= majority: 3 - 1 >= 2, 5 - 1 >= 3, 5 - 2 >= 3, 9 - 2 >= 5. With more
//   losses no core recovers, but nothing is forgotten silently.
// While the voters are not known the same holds for the agreement on the first voters, with the electors in
// place of the voters; this makes the core an elector (mayElect), but not a member. A value is only ever
// saved together with the voters, so every core with a value knows the voters. Once the first voters are
// known, that agreement is never run again. Drawback: for 1.5 s a returned machine takes no part anywhere.
inline Span recoveryDelay(const Options& o) { return std::max(o.operationTimeout, o.leaseDuration) * 1.25; }

}  // namespace petrelpond::consensus
