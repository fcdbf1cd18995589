// Emptying a database's folder so that no loss of power brings a part of it back.
#pragma once

#include <filesystem>
#include <string>

namespace petrelpond::consensus {

// Whether a discard() of this folder was cut short: what still stands there is of no use.
bool isDiscardInProgress(const std::filesystem::path& directory);

// Removes all files of the folder and leaves it empty. What was done is certain on return. Empty: done; else
// why not.
std::string discardDatabase(const std::filesystem::path& directory);

}  // namespace petrelpond::consensus
