// Empties the directory of a database so that no loss of power brings part of it back.
#pragma once

#include <filesystem>
#include <string>

namespace petrelpond::consensus {

// Whether an earlier discardDatabase() was interrupted, so that the remaining files must not be used.
bool isDiscardInProgress(const std::filesystem::path& directory);

// Removes all files in the directory; this is durable on return. Returns an empty string on success,
// otherwise the error.
std::string discardDatabase(const std::filesystem::path& directory);

}  // namespace petrelpond::consensus
