// Divides free slots among senders by how many each lacks of its share.
#pragma once

#include <cstdint>
#include <vector>

namespace petrelpond::scaler {

// Returns how many of `free` slots each sender gets. The result is that of handing out one slot after
// another, each to the sender that lacks most, until none is free or nobody lacks more than half a slot; of
// several that lack equally, the first goes first. The work grows with the number of senders and not with the
// number of slots: a configuration may give an instance two thousand million of them.
//
// `lacks`: slots that each sender lacks of its share; negative if it has more than its share.
std::vector<uint64_t> apportionSlots(const std::vector<double>& lacks, uint64_t free);

}  // namespace petrelpond::scaler
