// The two records in which a core's state lies on its disk, as bytes: the value, which is long and changes
// rarely, and the rest, with the mark of the value that belongs to it. Each begins with an XXH3 checksum of
// what follows.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "system/consensus/core.hpp"

namespace petrelpond::consensus {

std::string packValueRecord(const Value&);
// Nothing where the checksum or the length is wrong. The ballot stands with the rest.
std::optional<Value> unpackValueRecord(std::string_view record);

// All but the value's body.
std::string packStateRecord(const DurableState&);
// Nothing where the checksum is wrong, or the record is of no form that was ever written.
std::optional<DurableState> unpackStateRecord(std::string_view record);

}  // namespace petrelpond::consensus
