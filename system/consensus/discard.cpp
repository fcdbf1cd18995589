// Against power lost midway: a part of the files is another, older database to LevelDB, and its records would
// come back as if they had never been given up. So a mark is certain before the first file goes, and it goes
// last.
#include "system/consensus/discard.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

#include "system/consensus/durable_names.hpp"

namespace petrelpond::consensus {
namespace {

const char* const discardMark = "DISCARDED";

bool makeSynced(const std::filesystem::path& file) {
    const int descriptor = ::open(file.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    if (descriptor < 0) return false;
    const bool synced = ::fsync(descriptor) == 0;
    ::close(descriptor);
    return synced;
}

}  // namespace

bool isBeingDiscarded(const std::filesystem::path& folder) {
    std::error_code error;
    return std::filesystem::exists(folder / discardMark, error);
}

std::string discard(const std::filesystem::path& folder) {
    const auto failed = [&](const char* what) {
        return std::string(what) + " " + folder.string() + ": " + std::strerror(errno);
    };
    const std::filesystem::path mark = folder / discardMark;
    // By a rename where it can be, which needs no room: else a full disk would stay full of what is of no
    // use.
    const bool renamed = ::rename((folder / "CURRENT").c_str(), mark.c_str()) == 0;
    if ((!renamed && !makeSynced(mark)) || !syncFolder(folder)) return failed("mark");
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
        if (entry.path() != mark) std::filesystem::remove_all(entry.path(), error);
        if (error) return "empty " + folder.string() + ": " + error.message();
    }
    if (!syncFolder(folder)) return failed("empty");
    std::filesystem::remove(mark, error);
    if (error || !syncFolder(folder)) return failed("unmark");
    return {};
}

}  // namespace petrelpond::consensus
