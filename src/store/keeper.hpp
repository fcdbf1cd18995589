// What the store decides: what may still be written, when its upkeep is due, which files it empties, what is
// done about each kind of damage. No files, no clocks, no threads.
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <vector>

#include "src/store/events.hpp"

namespace petrelpond::store {

enum class Need { text, submit, end };  // what a record is for: a new text, a submit's start, anything after

struct Stock {  // what lies there
    int64_t total = 0;         // bytes of all files, each in whole blocks
    int64_t sinceSnapshot = 0;  // of sealed logs that no snapshot covers
    int64_t snapshot = 0;
};
struct FileStock {
    FileId file;
    int64_t bytes = 0, live = 0;
};

enum class DamageKind {
    torn,      // a record that was never finished, at the end of the newest log
    spoilt,    // bytes that were a record once
    missing,   // records that no file has, where no byte is odd
    header,    // a file whose salt is lost, so that none of it can be told from nonsense
    oneCopy,   // a header with one good copy left: nothing is lost
    snapshot,  // a part of the snapshot
    body       // of one text
};
struct Remedy {
    bool setAside = false;  // the bytes are kept in a file of their own, for people
    bool suspect = false;   // texts with no later record are taken to have run, perhaps
    bool warn = true;       // as damage; else it is what a kill leaves behind
};

class Keeper {
  public:
    // most: bytes that all files together may take. reserve: whether room is set aside on the disk itself.
    explicit Keeper(int64_t most, bool reserve = false) : most_(most), reserve_(reserve) {}

    // Others have a part of the room, or have given it back.
    void limit(int64_t most) { most_ = most; }
    // Bytes that a text may come to need until its end is written, whatever becomes of it.
    static int64_t lifeOf(size_t idBytes, size_t bodyBytes);
    int64_t segmentBytes() const;
    bool takes(int64_t live, size_t idBytes, size_t bodyBytes, int64_t setAside, int64_t open) const;
    bool admits(Need need, int64_t total, int64_t bytes) const;
    bool upkeepDue(const Stock& stock) const;
    // The files to be emptied now, out of those that a new snapshot would cover; what is live in them is moved.
    std::vector<FileId> emptied(std::vector<FileStock> files, const Stock& stock) const;
    // What should be set aside on the disk while so many texts are open.
    int64_t reserveFor(int64_t open) const;
    static Remedy remedyFor(DamageKind kind);

  private:
    std::atomic<int64_t> most_;
    bool reserve_;
};

}  // namespace petrelpond::store
