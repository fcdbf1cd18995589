#include "system/consensus/torn_log.hpp"

#include <leveldb/env.h>

#include <algorithm>
#include <cstring>
#include <string>

namespace petrelpond::consensus {
namespace {

// LevelDB's log format: blocks of fragments, each with a header of checksum, length and type.
constexpr size_t kBlockBytes = 32768, kHeaderBytes = 7;
enum FragmentType : uint8_t { full = 1, first = 2, middle = 3, last = 4 };

// CRC-32C of a fragment's type and data, masked as LevelDB stores it.
uint32_t maskedCrc32c(std::string_view bytes) {
    uint32_t crc = 0xffffffff;
    for (const char c : bytes) {
        crc ^= static_cast<uint8_t>(c);
        for (int i = 0; i < 8; ++i) crc = crc >> 1 ^ (crc & 1 ? 0x82f63b78 : 0);
    }
    crc = ~crc;
    return (crc >> 15 | crc << 17) + 0xa282ead8;
}

size_t readFragmentLength(std::string_view log, size_t position) {
    return static_cast<uint8_t>(log[position + 4]) |
           static_cast<size_t>(static_cast<uint8_t>(log[position + 5])) << 8;
}

// The type of the fragment at this position and its length with the header; type 0 if it is not readable.
std::pair<uint8_t, size_t> readFragment(std::string_view log, size_t position) {
    const size_t available = std::min(kBlockBytes - position % kBlockBytes, log.size() - position);
    if (available < kHeaderBytes) return {0, 0};
    uint32_t checksum = 0;
    std::memcpy(&checksum, log.data() + position, sizeof checksum);
    const size_t length = readFragmentLength(log, position);
    const auto type = static_cast<uint8_t>(log[position + 6]);
    if (length + kHeaderBytes > available || type < full || type > last) return {0, 0};
    if (checksum != maskedCrc32c(log.substr(position + 6, length + 1))) return {0, 0};
    return {type, length + kHeaderBytes};
}

bool readFile(const std::filesystem::path& file, std::string& bytes) {
    return leveldb::ReadFileToString(leveldb::Env::Default(), file.string(), &bytes).ok();
}

}  // namespace

int64_t findTornEnd(std::string_view log) {
    size_t position = 0, intactEnd = 0;
    bool insideRecord = false;
    while (position < log.size()) {
        if (kBlockBytes - position % kBlockBytes < kHeaderBytes) {
            position += kBlockBytes - position % kBlockBytes;
            continue;
        }
        const auto [type, size] = readFragment(log, position);
        const bool startsRecord = type == full || type == first;
        if (type == 0 || startsRecord == insideRecord) break;
        position += size;
        insideRecord = type == first || type == middle;
        if (!insideRecord) intactEnd = position;
    }
    if (position >= log.size() && !insideRecord) return -1;
    // Only one record is written at a time. A record that starts after the unreadable place was written after
    // that place had been synced, so the place is damage and not a torn end.
    size_t searchStart = position;
    if (kBlockBytes - position % kBlockBytes >= kHeaderBytes && log.size() - position >= kHeaderBytes &&
        readFragment(log, position).first == 0)
        searchStart += kHeaderBytes +
                       readFragmentLength(log, position);  // its length may be right even if its data is not
    if (searchStart / kBlockBytes != position / kBlockBytes)
        searchStart = position / kBlockBytes * kBlockBytes + kBlockBytes;
    for (; searchStart < log.size(); searchStart = searchStart / kBlockBytes * kBlockBytes + kBlockBytes)
        for (size_t next = searchStart; next < log.size();) {
            const auto [type, size] = readFragment(log, next);
            if (type == 0) break;
            if (type == full || type == first) return -1;
            next += size;
            if (next % kBlockBytes == 0) break;
        }
    return static_cast<int64_t>(intactEnd);
}

std::vector<TornLog> findTornLogs(const std::filesystem::path& directory) {
    std::vector<TornLog> torn;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(directory, error)) {
        const std::string name = entry.path().filename().string();
        if (entry.path().extension() != ".log" && name.rfind("MANIFEST-", 0) != 0) continue;
        std::string log;
        if (!readFile(entry.path(), log)) continue;
        const int64_t tornEnd = findTornEnd(log);
        if (tornEnd < 0) continue;
        log.resize(static_cast<size_t>(tornEnd));
        torn.push_back({entry.path(), std::move(log)});
    }
    return torn;
}

int truncateTornLogs(const std::filesystem::path& directory) {
    int truncated = 0;
    for (const TornLog& each : findTornLogs(directory)) {
        std::error_code error;
        std::filesystem::resize_file(each.file, each.intactBytes.size(), error);
        if (!error) ++truncated;
    }
    return truncated;
}

bool areFilesReadable(const std::filesystem::path& directory) {
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(directory, error)) {
        std::string bytes;
        if (entry.is_regular_file(error) && !readFile(entry.path(), bytes)) return false;
    }
    return !error;
}

}  // namespace petrelpond::consensus
