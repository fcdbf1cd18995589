// Encoding of the two records that hold a core's state on disk: the value, which is long and changes rarely,
// and the state record with everything else, including the version and digest of the value it belongs to.
// Each record starts with an XXH3 checksum of what follows.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "system/consensus/core.hpp"

namespace petrelpond::consensus {

std::string packValueRecord(const Value&);
// nullopt if the checksum or the length is wrong. The ballot is not set: it is part of the state record.
std::optional<Value> unpackValueRecord(std::string_view record);

// Everything but the value's body.
std::string packStateRecord(const DurableState&);
// nullopt if the checksum is wrong or the record has none of the known formats.
std::optional<DurableState> unpackStateRecord(std::string_view record);

}  // namespace petrelpond::consensus
