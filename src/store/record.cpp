#include "src/store/record.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace petrelpond::store {

namespace {

constexpr uint32_t kMagic = 0x53505050;  // "PPPS"
constexpr size_t kCopy = kHeaderBytes / 2;
constexpr size_t kWindow = 256 * 1024;

void put(std::string& out, uint64_t n, int bytes) {
    for (int i = 0; i < bytes; ++i) out += static_cast<char>(n >> (8 * i));
}
uint64_t get(std::string_view bytes, size_t at, int count) {
    uint64_t n = 0;
    for (int i = 0; i < count; ++i) {
        n |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[at + static_cast<size_t>(i)])) << (8 * i);
    }
    return n;
}
uint64_t checkOf(const Header& header, uint64_t sequence, std::string_view payload) {
    return XXH3_64bits_withSeed(payload.data(), payload.size(),
                                header.salt ^ sequence * 0x9e3779b97f4a7c15u ^ payload.size() << 48);
}
uint32_t markerOf(const Header& header) { return static_cast<uint32_t>(header.salt * 0x9e3779b1u >> 32); }

}  // namespace

std::string encode(const Header& header) { return encodeAs(kVersion, header); }

std::string encodeAs(uint32_t version, const Header& h) {
    std::string copy;
    put(copy, kMagic, 4), put(copy, version, 4), put(copy, static_cast<uint32_t>(h.sort), 4);
    put(copy, h.number, 4), put(copy, h.first, 8), put(copy, h.salt, 8), put(copy, h.epoch, 8);
    put(copy, XXH3_64bits(copy.data(), copy.size()), 8);
    return copy + copy;
}

// Magic, version and check sum stand at the same places in every version, so that a header of a later one is
// told from a spoilt one.
HeaderRead readHeader(const File& file) {
    std::string bytes(kHeaderBytes, '\0');
    int64_t n = file.read(0, bytes.data(), bytes.size());
    bytes.resize(static_cast<size_t>(std::max<int64_t>(n, 0)));
    HeaderRead found;
    int fine = 0;
    for (size_t at = 0; at + kCopy <= bytes.size(); at += kCopy) {
        std::string_view copy = std::string_view(bytes).substr(at, kCopy);
        if (get(copy, 0, 4) != kMagic || get(copy, 40, 8) != XXH3_64bits(copy.data(), 40)) continue;
        found.version = static_cast<uint32_t>(get(copy, 4, 4));
        if (found.version != kVersion) return found.what = Readable::unknownVersion, found;
        found.header = {static_cast<Sort>(get(copy, 8, 4)), static_cast<uint32_t>(get(copy, 12, 4)),
                        get(copy, 16, 8), get(copy, 24, 8), get(copy, 32, 8)};
        ++fine;
    }
    found.what = fine == 2 ? Readable::fine : fine == 1 ? Readable::oneCopy : Readable::unreadable;
    return found;
}

uint64_t checkSum(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

std::string encodeRecord(const Header& header, uint64_t sequence, std::string_view payload) {
    std::string out;
    out.reserve(kRecordHead + payload.size());
    put(out, markerOf(header), 4), put(out, payload.size(), 4), put(out, sequence, 8);
    put(out, checkOf(header, sequence, payload), 8);
    out += payload;
    return out;
}

// Whether so many bytes lie in the buffer from at_ on; reads more if there are more.
bool Reader::have(size_t bytes) {
    while (buffer_.size() - at_ < bytes) {
        if (ended_) return false;
        if (at_ > 0) base_ += static_cast<int64_t>(at_), buffer_.erase(0, at_), at_ = 0;
        size_t old = buffer_.size();
        buffer_.resize(old + std::max(kWindow, bytes));
        int64_t n = file_.read(base_ + static_cast<int64_t>(old), buffer_.data() + old, buffer_.size() - old);
        buffer_.resize(old + static_cast<size_t>(std::max<int64_t>(n, 0)));
        if (n <= 0) ended_ = true;
    }
    return true;
}

std::optional<Record> Reader::readAt(size_t ahead) {
    if (!have(ahead + kRecordHead)) return std::nullopt;
    if (get(buffer_, at_ + ahead, 4) != markerOf(header_)) return std::nullopt;
    size_t length = get(buffer_, at_ + ahead + 4, 4);
    if (length == 0 || length > kMostRecord || !have(ahead + kRecordHead + length)) return std::nullopt;
    size_t at = at_ + ahead;
    Record r;
    r.sequence = get(buffer_, at + 8, 8);
    r.offset = base_ + static_cast<int64_t>(at);
    r.payload = std::string_view(buffer_).substr(at + kRecordHead, length);
    if (get(buffer_, at + 16, 8) != checkOf(header_, r.sequence, r.payload)) return std::nullopt;
    if (r.sequence < due_) return std::nullopt;  // a leftover of other times
    return r;
}

std::optional<Record> Reader::next() {
    at_ += std::exchange(handed_, 0);
    if (!have(1)) return std::nullopt;
    std::optional<Record> r = readAt(0);
    if (!r) {
        int64_t from = at();
        Gap gap{from, 0, true, due_};
        // Behind a spoilt one the next record is known by the segment's own marker, then by its check sum.
        while (have(2)) {
            ++at_;
            if ((r = readAt(0))) break;
        }
        if (!r) at_ = buffer_.size();
        gap.bytes = at() - from, gap.atEnd = !r;
        gaps_.push_back(gap);
        if (!r) return std::nullopt;
    } else if (r->sequence != due_) {
        gaps_.push_back({r->offset, 0, false, due_});  // records are missing where no byte is odd
    }
    due_ = r->sequence + 1;
    handed_ = kRecordHead + r->payload.size();
    return r;
}

std::optional<std::string> readRecord(const File& file, const Header& header, int64_t offset) {
    std::string head(kRecordHead, '\0');
    if (file.read(offset, head.data(), head.size()) != static_cast<int64_t>(head.size())) return std::nullopt;
    size_t length = get(head, 4, 4);
    if (get(head, 0, 4) != markerOf(header) || length == 0 || length > kMostRecord) return std::nullopt;
    std::string payload(length, '\0');
    int64_t at = offset + static_cast<int64_t>(kRecordHead);
    if (file.read(at, payload.data(), length) != static_cast<int64_t>(length)) return std::nullopt;
    if (get(head, 16, 8) != checkOf(header, get(head, 8, 8), payload)) return std::nullopt;
    return payload;
}

Writer& Writer::number(uint64_t n) {
    for (; n >= 128; n >>= 7) bytes_ += static_cast<char>(n | 128);
    bytes_ += static_cast<char>(n);
    return *this;
}
Writer& Writer::text(std::string_view t) {
    number(t.size());
    bytes_ += t;
    return *this;
}

uint64_t Fields::number() {
    uint64_t n = 0;
    for (int shift = 0; shift < 64 && !rest_.empty(); shift += 7) {
        auto byte = static_cast<unsigned char>(rest_.front());
        rest_.remove_prefix(1);
        n |= static_cast<uint64_t>(byte & 127) << shift;
        if (byte < 128) return n;
    }
    return fine_ = false, 0;
}
std::string_view Fields::text() {
    uint64_t n = number();
    if (n > rest_.size()) return fine_ = false, std::string_view();
    std::string_view t = rest_.substr(0, n);
    rest_.remove_prefix(n);
    return t;
}

}  // namespace petrelpond::store
