// If power is lost midway, LevelDB would take the remaining files for an older database and bring discarded
// records back. So a marker is made durable before the first file is removed, and is itself removed last.
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
    // Creates the marker by renaming CURRENT if possible, which needs no space: otherwise a disk full of a
    // discarded database would stay full.
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
