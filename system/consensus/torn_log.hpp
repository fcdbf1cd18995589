// Detection and removal of the torn end that a loss of power leaves in a LevelDB log. MANIFEST files have the
// same format.
#pragma once

#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace petrelpond::consensus {

// Offset at which the last complete record ends, if everything unreadable comes after it and nothing readable
// does; -1 if a readable record follows the unreadable part, or if nothing is unreadable.
int64_t findTornEnd(std::string_view log);

struct TornLog {
    std::filesystem::path file;
    std::string intactBytes;  // contents before the torn end
};
// The logs of the database that have a torn end.
std::vector<TornLog> findTornLogs(const std::filesystem::path& directory);

// Truncates the torn ends of the logs of the database. Returns how many logs were truncated.
int truncateTornLogs(const std::filesystem::path& directory);

// Whether every byte of the files in the directory can be read.
bool areFilesReadable(const std::filesystem::path& directory);

}  // namespace petrelpond::consensus
