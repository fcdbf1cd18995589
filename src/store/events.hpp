// What the store's records say, and the texts that follow from them.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/store/record.hpp"

namespace petrelpond::store {

enum class Final { none, nacked, undeliverable };

struct State {  // what has come of a text; written whole each time, so that one lost record loses one step
    int submits = 0;
    bool out = false, mayHaveRun = false;
    int64_t startedAt = 0, firstMayHaveRun = 0;  // Unix time in microseconds, as all times here
    std::string startedIn, ranIn;                // zones
    Final final = Final::none;
    int64_t pause = 0;
};

struct FileId {
    Sort sort = Sort::log;
    uint32_t number = 0;
    auto operator<=>(const FileId&) const = default;
};
struct Where {  // a text's own record with its body
    FileId file;
    int64_t offset = 0;
    uint32_t bytes = 0;  // 0: it can't be read any more
};

struct Entry {
    uint64_t serial = 0;  // the order in which they were taken on
    std::string id, destination, product, mark, key;
    int64_t validUntil = 0, takenAt = 0;
    State state;
    Where where;
};

std::string takenPayload(const Entry& e, std::string_view body);
std::string statePayload(uint64_t serial, const State& s);
std::string overPayload(uint64_t serial);
std::string entryPayload(const Entry& e);  // of a snapshot
// Which serials a snapshot holds, in parts; it stands before and behind the entries, so that one that was
// spoilt is known to be missing.
std::vector<std::string> listPayloads(const std::vector<uint64_t>& serials);
std::string endPayload(uint64_t lastSequence, uint64_t nextSerial, uint64_t entries);

struct SnapshotEnd {
    uint64_t lastSequence = 0, nextSerial = 1, entries = 0;
};
// What a payload says; one that says nothing known is told as odd.
struct Said {
    enum class What { odd, taken, state, over, entry, list, end } what = What::odd;
    Entry entry;  // of taken (without its place) and entry
    std::string_view body;
    uint64_t serial = 0;
    State state;
    std::vector<uint64_t> serials;
    SnapshotEnd end;
};
Said read(std::string_view payload);

std::string nameOf(FileId file);
std::optional<FileId> fileNamed(const std::string& name);

}  // namespace petrelpond::store
