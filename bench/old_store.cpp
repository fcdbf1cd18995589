#include "bench/old_store.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace petrelpond {

namespace {

// A record: its length and a check sum, four bytes each, then a letter and its fields.
constexpr size_t kHead = 8;
constexpr size_t kMostRecord = 256 * 1024;
// The records that follow a text through its life, without its id (each holds that) and its body.
constexpr int64_t kLife = 1024;

uint32_t checkSum(std::string_view bytes) {
    uint32_t sum = 2166136261u;
    for (char c : bytes) sum = (sum ^ static_cast<unsigned char>(c)) * 16777619u;
    return sum;
}

class Writer {
  public:
    explicit Writer(char letter) { bytes_ += letter; }
    Writer& number(int64_t n) {
        for (int i = 0; i < 8; ++i) bytes_ += static_cast<char>(static_cast<uint64_t>(n) >> (8 * i));
        return *this;
    }
    Writer& text(std::string_view t) {
        number(static_cast<int64_t>(t.size()));
        bytes_ += t;
        return *this;
    }
    std::string record() const {
        std::string out;
        for (uint32_t word : {static_cast<uint32_t>(bytes_.size()), checkSum(bytes_)}) {
            for (int i = 0; i < 4; ++i) out += static_cast<char>(word >> (8 * i));
        }
        return out + bytes_;
    }

  private:
    std::string bytes_;
};

class Reader {
  public:
    explicit Reader(std::string_view bytes) : rest_(bytes) {}
    bool fine() const { return fine_; }
    int64_t number() {
        std::string_view b = bytes(8);
        uint64_t n = 0;
        for (size_t i = 0; i < b.size(); ++i)
            n |= static_cast<uint64_t>(static_cast<unsigned char>(b[i])) << (8 * i);
        return static_cast<int64_t>(n);
    }
    std::string text() { return std::string(bytes(static_cast<uint64_t>(number()))); }

  private:
    std::string_view bytes(uint64_t n) {
        if (n > rest_.size()) return fine_ = false, std::string_view();
        std::string_view b = rest_.substr(0, n);
        rest_.remove_prefix(n);
        return b;
    }
    std::string_view rest_;
    bool fine_ = true;
};

uint32_t word(std::string_view bytes, size_t at) {
    uint32_t w = 0;
    for (size_t i = 0; i < 4; ++i)
        w |= static_cast<uint32_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
    return w;
}

bool writeAll(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        ssize_t n = ::write(fd, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) return false;
        bytes.remove_prefix(static_cast<size_t>(n));
    }
    return true;
}

std::string takenRecord(const std::string& id, const OldStore::Text& t) {
    return Writer('t')
        .number(static_cast<int64_t>(t.serial))
        .text(id)
        .text(t.destination)
        .text(t.product)
        .text(t.mark)
        .text(t.key)
        .number(t.validUntil)
        .text(*t.body)
        .record();
}

// What has come of a text since it was taken on, in one record.
std::string stateRecord(const std::string& id, const OldStore::Text& t) {
    return Writer('s')
        .text(id)
        .number(t.submits)
        .number(t.out)
        .number(t.mayHaveRun)
        .number(t.startedAt)
        .number(t.firstMayHaveRun)
        .text(t.startedIn)
        .text(t.ranIn)
        .number(static_cast<int64_t>(t.final))
        .number(t.pause)
        .record();
}

}  // namespace

OldStore::OldStore(std::string folder, int64_t mostBytes) : folder_(std::move(folder)), most_(mostBytes) {
    ::unlink(path("texts.new").c_str());
    fd_ = ::open(path("texts").c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_APPEND, 0600);
    compactAt_ = most_ * 21 / 40;
    if (fd_ >= 0) read();
}

OldStore::~OldStore() {
    if (fd_ >= 0) ::close(fd_);
}

void OldStore::read() {
    std::string bytes;
    char part[4096];
    ssize_t n;
    while ((n = ::read(fd_, part, sizeof part)) > 0) bytes.append(part, static_cast<size_t>(n));
    std::string_view rest = bytes;
    while (rest.size() >= kHead) {
        uint32_t length = word(rest, 0);
        if (length > kMostRecord || rest.size() - kHead < length) break;
        std::string_view record = rest.substr(kHead, length);
        if (word(rest, 4) != checkSum(record) || !apply(record)) break;
        rest.remove_prefix(kHead + length);
    }
    size_ = static_cast<int64_t>(bytes.size() - rest.size());
    if (!rest.empty() && ::ftruncate(fd_, size_) != 0) ::close(fd_), fd_ = -1;
}

bool OldStore::apply(std::string_view record) {
    if (record.empty()) return false;
    char letter = record.front();
    Reader in(record.substr(1));
    if (letter == 't') {
        Text t;
        t.serial = static_cast<uint64_t>(in.number());
        std::string id = in.text();
        t.destination = in.text(), t.product = in.text();
        t.mark = in.text(), t.key = in.text();
        t.validUntil = in.number();
        t.body = std::make_shared<const std::string>(in.text());
        if (!in.fine()) return false;
        nextSerial_ = std::max(nextSerial_, t.serial + 1);
        account(t, id, 1);
        texts_[id] = std::move(t);
        return true;
    }
    std::string id = in.text();
    auto found = texts_.find(id);
    Text none;
    Text& t = found == texts_.end() ? none : found->second;
    if (letter == 'b') {
        ++t.submits, t.out = true, t.startedAt = in.number(), t.startedIn = in.text();
    } else if (letter == 'e') {
        if (in.number() != 0 && !t.mayHaveRun) {
            t.mayHaveRun = true, t.firstMayHaveRun = t.startedAt, t.ranIn = t.startedIn;
        }
        t.out = false;
    } else if (letter == 's') {
        t.submits = static_cast<int>(in.number()), t.out = in.number() != 0, t.mayHaveRun = in.number() != 0;
        t.startedAt = in.number(), t.firstMayHaveRun = in.number();
        t.startedIn = in.text(), t.ranIn = in.text();
        t.final = static_cast<Final>(in.number()), t.pause = in.number();
    } else if (letter == 'f') {
        t.final = static_cast<Final>(in.number()), t.pause = in.number();
    } else if (letter == 'o') {
        if (found != texts_.end()) account(t, id, -1), texts_.erase(found);
    } else {
        return false;
    }
    return in.fine();
}

void OldStore::account(const Text& text, const std::string& id, int sign) {
    live_ += sign * (kLife + static_cast<int64_t>(8 * id.size() + text.body->size()));
}

// Old and new lie side by side while the file is made anew, so what is live may take less than half, and the
// old file a little over half.
bool OldStore::roomFor(size_t idBytes, size_t bodyBytes) const {
    return fd_ >= 0 && live_ + kLife + static_cast<int64_t>(8 * idBytes + bodyBytes) < most_ * 9 / 20;
}

bool OldStore::append(const std::string& record) {
    if (fd_ < 0) return false;
    auto bytes = static_cast<int64_t>(record.size());
    if (size_ + bytes > compactAt_ && !compact() && size_ + bytes > most_ * 19 / 20) return false;
    if (writeAll(fd_, record)) return size_ += bytes, true;
    // A half record would hide all that comes after it.
    if (::ftruncate(fd_, size_) != 0) ::close(fd_), fd_ = -1;
    return false;
}

bool OldStore::compact() {
    int fresh = ::open(path("texts.new").c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC | O_APPEND, 0600);
    if (fresh < 0) return false;
    std::vector<const Texts::value_type*> live;
    for (const auto& row : texts_) live.push_back(&row);
    std::sort(live.begin(), live.end(), [](auto* a, auto* b) { return a->second.serial < b->second.serial; });
    int64_t bytes = 0;
    bool fine = true;
    for (const auto* row : live) {
        std::string records = takenRecord(row->first, row->second);
        records += stateRecord(row->first, row->second);
        bytes += static_cast<int64_t>(records.size());
        if (!(fine = fine && writeAll(fresh, records))) break;
    }
    if (!fine || ::rename(path("texts.new").c_str(), path("texts").c_str()) != 0) {
        ::close(fresh), ::unlink(path("texts.new").c_str());
        return false;
    }
    ::close(fd_);
    fd_ = fresh, size_ = bytes, ++compactions_;
    return true;
}

bool OldStore::taken(const std::string& id, Text text) {
    text.serial = nextSerial_++;
    if (!append(takenRecord(id, text))) return false;
    account(text, id, 1);
    texts_[id] = std::move(text);
    return true;
}

bool OldStore::begun(const std::string& id, int64_t at, const std::string& zone) {
    auto found = texts_.find(id);
    if (found == texts_.end() || !append(Writer('b').text(id).number(at).text(zone).record())) return false;
    Text& t = found->second;
    ++t.submits, t.out = true, t.startedAt = at, t.startedIn = zone;
    return true;
}

bool OldStore::ended(const std::string& id, bool mayHaveRun) {
    auto found = texts_.find(id);
    if (found == texts_.end()) return false;
    Text& t = found->second;
    if (mayHaveRun && !t.mayHaveRun)
        t.mayHaveRun = true, t.firstMayHaveRun = t.startedAt, t.ranIn = t.startedIn;
    t.out = false;
    return append(Writer('e').text(id).number(mayHaveRun).record());
}

bool OldStore::over(const std::string& id) {
    auto found = texts_.find(id);
    if (found == texts_.end()) return true;
    account(found->second, id, -1);
    texts_.erase(found);
    return append(Writer('o').text(id).record());
}

bool OldStore::final(const std::string& id, Final final, int64_t pause) {
    auto found = texts_.find(id);
    if (found == texts_.end()) return false;
    found->second.final = final, found->second.pause = pause;
    return append(Writer('f').text(id).number(static_cast<int64_t>(final)).number(pause).record());
}

}  // namespace petrelpond
