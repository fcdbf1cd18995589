// Segments: files of records, each with its length, its sequence and a check sum. Bytes in, values out; where
// bytes are spoilt the reader goes on behind them and says what it passed over. The layout is written down in
// docs/store-design.md.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/store/disk.hpp"

namespace petrelpond::store {

constexpr uint32_t kVersion = 1;
constexpr int64_t kHeaderBytes = 96;  // written twice, so that one spoilt byte does not take the salt away
constexpr size_t kRecordHead = 24, kMostRecord = 256 * 1024;

enum class Sort : uint32_t { log = 1, kept = 2, snapshot = 3 };

struct Header {
    Sort sort = Sort::log;
    uint32_t number = 0;
    uint64_t first = 0;  // the sequence of its first record
    // Drawn for each segment and part of each check sum: clients choose the bytes of bodies, and without it a
    // record could be forged inside one that a reader finds behind damage.
    uint64_t salt = 0;
    uint64_t epoch = 0;  // of the primary that wrote it
};

enum class Readable { fine, oneCopy, unreadable, unknownVersion };
struct HeaderRead {
    Readable what = Readable::unreadable;
    Header header;
    uint32_t version = 0;
};

std::string encode(const Header& header);
std::string encodeAs(uint32_t version, const Header& header);  // as a program of that version would
HeaderRead readHeader(const File& file);
uint64_t checkSum(std::string_view bytes);
std::string encodeRecord(const Header& header, uint64_t sequence, std::string_view payload);

struct Record {
    uint64_t sequence = 0;
    int64_t offset = 0;  // of its head in the file
    std::string_view payload;
    int64_t bytes() const { return static_cast<int64_t>(kRecordHead + payload.size()); }
};
struct Gap {  // bytes that are no record
    int64_t offset = 0, bytes = 0;
    bool atEnd = false;
    uint64_t before = 0;  // the sequence that was expected there
};

// One record after the other. A view is good until the next call.
class Reader {
  public:
    Reader(const File& file, const Header& header) : file_(file), header_(header), due_(header.first) {}
    std::optional<Record> next();
    const std::vector<Gap>& gaps() const { return gaps_; }
    uint64_t due() const { return due_; }  // the sequence after the last one read
    int64_t at() const { return base_ + static_cast<int64_t>(at_); }

  private:
    bool have(size_t bytes);
    std::optional<Record> readAt(size_t at);

    const File& file_;
    Header header_;
    uint64_t due_;
    std::string buffer_;
    int64_t base_ = kHeaderBytes;  // where in the file the buffer begins
    size_t at_ = 0, handed_ = 0;
    bool ended_ = false;
    std::vector<Gap> gaps_;
};

// The record at that offset, if it stands there whole.
std::optional<std::string> readRecord(const File& file, const Header& header, int64_t offset);

// Numbers of one to ten bytes, and strings with their length before them.
class Writer {
  public:
    explicit Writer(char letter) { bytes_ += letter; }
    Writer& number(uint64_t n);
    Writer& time(int64_t n) {  // small either side of 0
        return number(static_cast<uint64_t>(n) << 1 ^ static_cast<uint64_t>(n >> 63));
    }
    Writer& text(std::string_view t);
    std::string take() { return std::move(bytes_); }

  private:
    std::string bytes_;
};
class Fields {
  public:
    explicit Fields(std::string_view bytes) : rest_(bytes) {}
    bool fine() const { return fine_; }
    bool atEnd() const { return rest_.empty(); }
    uint64_t number();
    int64_t time() {
        uint64_t n = number();
        return static_cast<int64_t>(n >> 1) ^ -static_cast<int64_t>(n & 1);
    }
    std::string_view text();

  private:
    std::string_view rest_;
    bool fine_ = true;
};

}  // namespace petrelpond::store
