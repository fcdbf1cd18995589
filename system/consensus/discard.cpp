// Against power lost midway: a part of the files is another, older database to LevelDB, and its records would
// come back as if they had never been given up. So a mark is certain before the first file goes, and it goes
// last.
#include "system/consensus/discard.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

#include "system/consensus/directory_sync_env.hpp"

namespace petrelpond::consensus {
namespace {

const char* const kDiscardMarkerName = "DISCARDED";

bool createSyncedFile(const std::filesystem::path& file) {
    const int descriptor = ::open(file.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    if (descriptor < 0) return false;
    const bool synced = ::fsync(descriptor) == 0;
    ::close(descriptor);
    return synced;
}

}  // namespace

bool isDiscardInProgress(const std::filesystem::path& directory) {
    std::error_code error;
    return std::filesystem::exists(directory / kDiscardMarkerName, error);
}

std::string discardDatabase(const std::filesystem::path& directory) {
    const auto failed = [&](const char* step) {
        return std::string(step) + " " + directory.string() + ": " + std::strerror(errno);
    };
    const std::filesystem::path marker = directory / kDiscardMarkerName;
    // By a rename where it can be, which needs no room: else a full disk would stay full of what is of no
    // use.
    const bool renamed = ::rename((directory / "CURRENT").c_str(), marker.c_str()) == 0;
    if ((!renamed && !createSyncedFile(marker)) || !syncDirectory(directory)) return failed("mark");
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(directory, error)) {
        if (entry.path() != marker) std::filesystem::remove_all(entry.path(), error);
        if (error) return "empty " + directory.string() + ": " + error.message();
    }
    if (!syncDirectory(directory)) return failed("empty");
    std::filesystem::remove(marker, error);
    if (error || !syncDirectory(directory)) return failed("unmark");
    return {};
}

}  // namespace petrelpond::consensus
