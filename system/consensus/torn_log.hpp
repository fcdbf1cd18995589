// The end of a LevelDB log (its format also carries MANIFEST files) that a loss of power tore.
#pragma once

#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace petrelpond::consensus {

// Where the last whole record ends, if all that can't be read lies behind it and nothing that can; -1 where a
// record follows that can be read, or nothing is wrong.
int64_t findTornEnd(std::string_view log);

struct TornLog {
    std::filesystem::path file;
    std::string intactBytes;  // its bytes before the torn end
};
// The logs of this database that have a torn end.
std::vector<TornLog> findTornLogs(const std::filesystem::path& directory);

// Cuts the torn ends off the logs of this database; how many.
int truncateTornLogs(const std::filesystem::path& directory);

// Whether every byte of the folder's files can be read.
bool areFilesReadable(const std::filesystem::path& directory);

}  // namespace petrelpond::consensus
