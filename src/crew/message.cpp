#include "src/crew/message.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <variant>

namespace petrelpond::crew {

namespace {

using nlohmann::json;

// Two letters, the form of the header, the number of a key (0: none, signing is yet to come), the check sum of
// what follows.
constexpr std::string_view kMagic = "Pc";
constexpr char kForm = 1;
constexpr size_t kHead = 12;
constexpr int kDeep = 3;             // arrays in arrays
constexpr size_t kTokens = 64 * 1024;  // values in a message: 4,096 records have 28,672

std::array<char, 8> sumOf(std::string_view body) {
    uint64_t sum = XXH3_64bits(body.data(), body.size());
    std::array<char, 8> out{};
    for (char& c : out) c = static_cast<char>(sum & 255), sum >>= 8;
    return out;
}

// One value of the flat order in which they come. The library's reader calls itself for an array in an array
// and would use up a small stack on a datagram made for that; whoever takes its events can stop it in time.
struct Token {
    enum class What : uint8_t { number, text, bytes, opens, closes } what;
    uint64_t number = 0;
    std::string text;
};

class Taker : public nlohmann::json_sax<json> {
  public:
    std::vector<Token> tokens;
    bool null() override { return false; }
    bool boolean(bool) override { return false; }
    bool number_integer(json::number_integer_t) override { return false; }
    bool number_unsigned(json::number_unsigned_t n) override { return add({Token::What::number, n, {}}); }
    bool number_float(json::number_float_t, const json::string_t&) override { return false; }
    bool string(json::string_t& s) override { return add({Token::What::text, 0, std::move(s)}); }
    bool binary(json::binary_t& b) override {
        return add({Token::What::bytes, 0, std::string(b.begin(), b.end())});
    }
    bool start_object(size_t) override { return false; }
    bool key(json::string_t&) override { return false; }
    bool end_object() override { return false; }
    bool start_array(size_t) override { return ++depth_ <= kDeep && add({Token::What::opens, 0, {}}); }
    bool end_array() override { return --depth_, add({Token::What::closes, 0, {}}); }
    bool parse_error(size_t, const std::string&, const json::exception&) override { return false; }

  private:
    bool add(Token token) {
        if (tokens.size() >= kTokens) return false;
        tokens.push_back(std::move(token));
        return true;
    }
    int depth_ = 0;
};

class Reader {
  public:
    explicit Reader(std::vector<Token>& tokens) : tokens_(tokens) {}
    bool fine = true;
    bool at(Token::What what) const { return at_ < tokens_.size() && tokens_[at_].what == what; }
    void take(Token::What what) {
        if (!at(what)) fine = false;
        if (fine) ++at_;
    }
    uint64_t number(uint64_t most) {
        if (!at(Token::What::number) || tokens_[at_].number > most) return fine = false, 0;
        return tokens_[at_++].number;
    }
    std::string text(Token::What what, size_t most) {
        if (!at(what) || tokens_[at_].text.size() > most) return fine = false, std::string();
        return std::move(tokens_[at_++].text);
    }
    std::string name(bool mayBeNone = false) {
        std::string s = text(Token::What::text, kName);
        if (!(mayBeNone && s.empty()) && !goodName(s)) fine = false;
        return s;
    }
    bool over() const { return at_ == tokens_.size(); }

  private:
    std::vector<Token>& tokens_;
    size_t at_ = 0;
};

Record readRecord(Reader& from) {
    Record r;
    from.take(Token::What::opens);
    r.name = from.name(), r.address = from.text(Token::What::text, 32);
    r.life = from.number(UINT64_MAX), r.joined = from.number(kCountMost);
    r.incarnation = from.number(kCountMost);
    r.state = static_cast<State>(from.number(static_cast<uint64_t>(State::left)));
    r.by = from.name(true);
    from.take(Token::What::closes);
    if (!goodAddress(r.address) || r.incarnation < r.joined) from.fine = false;
    return r;
}

Item readItem(Reader& from) {
    Item i;
    from.take(Token::What::opens);
    i.topic = from.text(Token::What::text, kTopic), i.origin = from.name();
    i.version = from.number(UINT64_MAX), i.ageMs = static_cast<uint32_t>(from.number(UINT32_MAX));
    i.bytes = from.text(Token::What::bytes, kPayload);
    from.take(Token::What::closes);
    if (!goodName(i.topic)) from.fine = false;
    return i;
}

json bytesOf(const std::string& s) { return json::binary(std::vector<uint8_t>(s.begin(), s.end())); }

constexpr size_t kNumber = 9, kOpens = 5;  // at most, in CBOR
size_t roomOfText(size_t bytes) { return bytes + 3; }

}  // namespace

std::string_view wordOf(State state) {
    static constexpr std::string_view words[] = {"alive", "doubted", "dead", "left"};
    return words[static_cast<size_t>(state)];
}

std::string_view wordOf(Unreadable why) {
    static constexpr std::string_view words[] = {"none", "header", "checkSum", "key", "form", "version", "crew"};
    return words[static_cast<size_t>(why)];
}

int newer(const Record& a, const Record& b) {
    auto by = [](auto x, auto y) { return x < y ? -1 : x > y ? 1 : 0; };
    if (int c = by(a.joined, b.joined)) return c;
    if (int c = by(b.life, a.life)) return c;  // two that never heard of each other: the lower one has it
    if (int c = by(a.incarnation, b.incarnation)) return c;
    return by(a.state, b.state);
}

bool goodName(std::string_view name) {
    auto fine = [](unsigned char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
    };
    return !name.empty() && name.size() <= kName && std::all_of(name.begin(), name.end(), fine);
}

// Four numbers and a port, told without sockets: this package has none.
bool goodAddress(std::string_view at) {
    int parts = 0;
    for (size_t i = 0; parts < 5; ++parts) {
        size_t digits = 0;
        int value = 0;
        while (i < at.size() && at[i] >= '0' && at[i] <= '9' && digits < 6) value = value * 10 + (at[i++] - '0'), ++digits;
        if (digits == 0 || value > (parts < 4 ? 255 : 65535)) return false;
        if (parts == 4) return value > 0 && i == at.size();
        if (i >= at.size() || at[i++] != (parts < 3 ? '.' : ':')) return false;
    }
    return false;
}

size_t roomOf(const Record& r) {
    return 1 + roomOfText(r.name.size()) + roomOfText(r.address.size()) + 3 * kNumber + 1 + roomOfText(r.by.size());
}
size_t roomOf(const Item& i) {
    return 1 + roomOfText(i.topic.size()) + roomOfText(i.origin.size()) + 2 * kNumber + roomOfText(i.bytes.size());
}
size_t roomOf(const Message& m) {
    return kHead + kOpens * 3 + 3 + 2 * kNumber + roomOfText(m.crew.size()) + roomOfText(m.from.size()) +
           roomOfText(m.target.size()) + roomOfText(m.topic.size()) + roomOfText(m.bytes.size());
}

std::string encode(const Message& m) {
    json records = json::array(), items = json::array();
    for (const Record& r : m.records) {
        records.push_back(json::array({r.name, r.address, r.life, r.joined, r.incarnation,
                                       static_cast<unsigned>(r.state), r.by}));
    }
    for (const Item& i : m.items) items.push_back(json::array({i.topic, i.origin, i.version, i.ageMs, bytesOf(i.bytes)}));
    json all = json::array({static_cast<unsigned>(m.lowest), static_cast<unsigned>(m.highest), m.crew,
                            static_cast<unsigned>(m.kind), m.from, m.target, m.life, m.round, std::move(records),
                            std::move(items), m.topic, bytesOf(m.bytes)});
    std::string body;
    json::to_cbor(all, body);
    return sealed(body);
}

std::string sealed(std::string_view body) {
    std::string out(kMagic);
    out += kForm, out += '\0';
    auto sum = sumOf(body);
    out.append(sum.begin(), sum.end());
    return out.append(body);
}

Unreadable decode(std::string_view bytes, std::string_view crew, Message& into) {
    if (bytes.size() < kHead || bytes.size() > kTable || bytes.substr(0, 2) != kMagic || bytes[2] != kForm)
        return Unreadable::header;
    if (bytes[3] != 0) return Unreadable::key;
    std::string_view body = bytes.substr(kHead);
    auto sum = sumOf(body);
    if (!std::equal(sum.begin(), sum.end(), bytes.begin() + 4)) return Unreadable::checkSum;
    Taker taker;
    if (!json::sax_parse(body.begin(), body.end(), &taker, json::input_format_t::cbor)) return Unreadable::form;
    Reader from(taker.tokens);
    Message m;
    from.take(Token::What::opens);
    m.lowest = static_cast<uint8_t>(from.number(255)), m.highest = static_cast<uint8_t>(from.number(255));
    m.crew = from.name();
    if (!from.fine) return Unreadable::form;
    // The rest may have another form in another version.
    if (m.lowest > m.highest || m.lowest > kHighest || m.highest < kLowest) return Unreadable::version;
    if (m.crew != crew) return Unreadable::crew;
    m.kind = static_cast<Kind>(from.number(static_cast<uint64_t>(Kind::answer)));
    m.from = from.name(), m.target = from.name(true);
    m.life = from.number(UINT64_MAX), m.round = from.number(UINT64_MAX);
    from.take(Token::What::opens);
    while (from.fine && !from.at(Token::What::closes)) m.records.push_back(readRecord(from));
    from.take(Token::What::closes);
    from.take(Token::What::opens);
    while (from.fine && !from.at(Token::What::closes)) m.items.push_back(readItem(from));
    from.take(Token::What::closes);
    m.topic = from.text(Token::What::text, kTopic), m.bytes = from.text(Token::What::bytes, kPayload);
    from.take(Token::What::closes);
    bool whole = from.fine && from.over() && m.records.size() <= kMembers && (m.topic.empty() || goodName(m.topic));
    if (!whole) return Unreadable::form;
    into = std::move(m);
    return Unreadable::none;
}

}  // namespace petrelpond::crew
