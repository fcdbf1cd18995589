#include "src/store/old_format.hpp"

#include <algorithm>
#include <unordered_map>

namespace petrelpond::store {

namespace {

// A record: its length and a check sum, four bytes each, then a letter and its fields.
constexpr size_t kHead = 8;
constexpr std::string_view kLetters = "tbesfo";

uint32_t checkSum(std::string_view bytes) {
    uint32_t sum = 2166136261u;
    for (char c : bytes) sum = (sum ^ static_cast<unsigned char>(c)) * 16777619u;
    return sum;
}
uint32_t word(std::string_view bytes, size_t at) {
    uint32_t w = 0;
    for (size_t i = 0; i < 4; ++i)
        w |= static_cast<uint32_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
    return w;
}

class Fields8 {  // numbers of eight bytes
  public:
    explicit Fields8(std::string_view bytes) : rest_(bytes) {}
    bool fine() const { return fine_; }
    int64_t number() {
        if (rest_.size() < 8) return fine_ = false, 0;
        uint64_t n = word(rest_, 0) | static_cast<uint64_t>(word(rest_, 4)) << 32;
        rest_.remove_prefix(8);
        return static_cast<int64_t>(n);
    }
    std::string text() {
        auto n = static_cast<uint64_t>(number());
        if (n > rest_.size()) return fine_ = false, std::string();
        std::string t(rest_.substr(0, n));
        rest_.remove_prefix(n);
        return t;
    }

  private:
    std::string_view rest_;
    bool fine_ = true;
};

struct Reading {
    std::unordered_map<std::string, OldText> texts;
    uint64_t passed = 0;  // gaps so far

    bool apply(std::string_view record, std::unordered_map<std::string, uint64_t>& seen) {
        Fields8 in(record.substr(1));
        char letter = record.front();
        if (letter == 't') {
            OldText t;
            t.entry.serial = static_cast<uint64_t>(in.number());
            t.entry.id = in.text(), t.entry.destination = in.text(), t.entry.product = in.text();
            t.entry.mark = in.text(), t.entry.key = in.text(), t.entry.validUntil = in.number();
            t.body = in.text();
            if (!in.fine()) return false;
            std::string id = t.entry.id;
            seen[id] = passed;
            texts[id] = std::move(t);
            return true;
        }
        std::string id = in.text();
        auto found = texts.find(id);
        OldText none;
        State& s = (found == texts.end() ? none : found->second).entry.state;
        if (letter == 'b') {
            ++s.submits, s.out = true, s.startedAt = in.number(), s.startedIn = in.text();
        } else if (letter == 'e') {
            if (in.number() != 0 && !s.mayHaveRun) {
                s.mayHaveRun = true, s.firstMayHaveRun = s.startedAt, s.ranIn = s.startedIn;
            }
            s.out = false;
        } else if (letter == 's') {
            s.submits = static_cast<int>(in.number()), s.out = in.number() != 0;
            s.mayHaveRun = in.number() != 0;
            s.startedAt = in.number(), s.firstMayHaveRun = in.number();
            s.startedIn = in.text(), s.ranIn = in.text();
            s.final = static_cast<Final>(in.number()), s.pause = in.number();
        } else if (letter == 'f') {
            s.final = static_cast<Final>(in.number()), s.pause = in.number();
        } else if (letter == 'o') {
            if (found != texts.end()) texts.erase(found), found = texts.end();
        } else {
            return false;
        }
        // A whole state makes good what was lost before it; one step does not.
        if (found != texts.end() && letter == 's') seen[id] = passed;
        return in.fine();
    }
};

bool looksWhole(std::string_view rest) {
    if (rest.size() < kHead + 1) return false;
    uint32_t length = word(rest, 0);
    return length > 0 && length <= kMostRecord && rest.size() - kHead >= length &&
           kLetters.find(rest[kHead]) != std::string_view::npos &&
           word(rest, 4) == checkSum(rest.substr(kHead, length));
}

}  // namespace

OldImage readOld(std::string_view bytes) {
    OldImage image;
    Reading reading;
    std::unordered_map<std::string, uint64_t> seen;
    std::string_view rest = bytes;
    while (!rest.empty()) {
        if (looksWhole(rest)) {
            uint32_t length = word(rest, 0);
            if (!reading.apply(rest.substr(kHead, length), seen)) image.spoilt += kHead + length, ++reading.passed;
            rest.remove_prefix(kHead + length);
            continue;
        }
        // Its check sum is weak, and a body could hold what looks like a record; but cutting all that follows
        // would lose more.
        size_t step = 1;
        while (step < rest.size() && !looksWhole(rest.substr(step))) ++step;
        if (step >= rest.size()) {
            image.torn = static_cast<int64_t>(rest.size());
            break;
        }
        image.spoilt += static_cast<int64_t>(step), ++reading.passed;
        rest.remove_prefix(step);
    }
    for (auto& [id, t] : reading.texts) {
        State& s = t.entry.state;
        if (seen[id] < reading.passed && !s.mayHaveRun && s.final == Final::none) {
            s.mayHaveRun = true, s.firstMayHaveRun = s.startedAt, s.ranIn = s.startedIn;
        }
        image.open.push_back(std::move(t));
    }
    std::sort(image.open.begin(), image.open.end(),
              [](const OldText& a, const OldText& b) { return a.entry.serial < b.entry.serial; });
    return image;
}

}  // namespace petrelpond::store
