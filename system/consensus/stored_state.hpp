// What a core finds on its disk at the start, read without a write, and what it may then conclude. Only two
// findings make a disk count as lost: there is no state, or all its bytes were read and make none. A disk
// that does not give its bytes may yet give them; it says nothing of what it holds.
#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <variant>

#include "system/consensus/core.hpp"

namespace petrelpond::consensus {

// The records of the database, which the Keeper writes.
inline const char* const kValueKey = "value";  // the long part, rarely changed
inline const char* const kStateKey = "rest";   // all others, and the mark of the value that belongs to them

struct Unreadable {  // the disk did not give all bytes: nothing is known of them
    std::string reason;
};
struct Damaged {  // all bytes were read, and make no whole state
    std::string reason;
};
// No Durable: no state was ever told from this folder, or it was given up.
using StoredState = std::variant<std::optional<DurableState>, Unreadable, Damaged>;

StoredState readStoredState(const std::filesystem::path& directory);

// Against a state that is read from the host's memory as a process was killed in the midst of a write, is
// told, and is gone with the next loss of power: syncs what stands in the folder. Empty: done; else why not.
std::string syncDatabaseFiles(const std::filesystem::path& directory);

}  // namespace petrelpond::consensus
