// Reads a core's state from its disk at the start, without writing. A disk counts as lost in only two cases:
// it holds no state, or all its bytes were read and make up no valid state. A disk that does not return its
// bytes may still return them later; nothing is known of what it holds.
#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <variant>

#include "system/consensus/core.hpp"

namespace petrelpond::consensus {

// Keys of the database records that StateStore writes.
inline const char* const kValueKey = "value";  // long and rarely changed
inline const char* const kStateKey = "rest";   // all other fields, with version and digest of their value

struct Unreadable {  // not all bytes could be read: nothing is known of them
    std::string reason;
};
struct Damaged {  // all bytes were read but make up no valid state
    std::string reason;
};
// A nullopt means that no state was ever announced from this directory, or that it was discarded.
using StoredState = std::variant<std::optional<DurableState>, Unreadable, Damaged>;

StoredState readStoredState(const std::filesystem::path& directory);

// Syncs the files in the directory and the directory itself. A process killed during a write may leave state
// that is only in the host's page cache; without a sync it would be loaded and announced, and then disappear
// with the next loss of power. Returns an empty string on success, otherwise the error.
std::string syncDatabaseFiles(const std::filesystem::path& directory);

}  // namespace petrelpond::consensus
