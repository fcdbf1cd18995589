// What a folder's files come to: which texts are open, and what can't be read. Reads only.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/store/disk.hpp"
#include "src/store/events.hpp"
#include "src/store/keeper.hpp"

namespace petrelpond::store {

struct Damage {
    DamageKind kind = DamageKind::spoilt;
    FileId file;
    int64_t offset = 0, bytes = 0;
    uint64_t records = 0;  // known to be lost; more may be
};
std::string inWords(const Damage& damage);

struct Image {
    std::vector<Entry> open;     // by serial
    std::set<uint64_t> suspect;  // serials of those whose later records may be lost
    std::vector<Damage> damages;
    std::vector<std::pair<FileId, int64_t>> files;  // with their sizes
    uint32_t covered = 0;                           // number of the snapshot that was read; 0: none
    uint32_t nextNumber = 1;
    uint64_t nextSequence = 1, nextSerial = 1, epoch = 1;
    uint64_t records = 0, orphans = 0;  // read; of texts that nothing is known of
    std::string refused;                // not to be touched, and why
};

// upTo: logs with higher numbers are left alone, as somebody writes there.
Image readImage(Disk& disk, std::optional<uint32_t> upTo = std::nullopt);

// Copies the bytes to a file named for where they stood; true if they are there, also from an earlier time.
bool setAside(Disk& disk, const Damage& damage, int64_t most, int64_t& written);

// Bodies by their place; keeps a file open for each segment that was asked for.
class Bodies {
  public:
    explicit Bodies(Disk& disk) : disk_(disk) {}
    // The whole payload of the text's own record, if it can still be read and is that text's.
    std::optional<std::string> payload(uint64_t serial, const Where& where);
    void forget(FileId file) { files_.erase(file); }

  private:
    struct Open {
        std::unique_ptr<File> file;
        Header header;
    };
    Disk& disk_;
    std::map<FileId, Open> files_;
};

}  // namespace petrelpond::store
