// Messages between members: what is written is read again, and what is not as it was written is not read.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <random>

#include "src/crew/message.hpp"

using namespace petrelpond::crew;

namespace {

Message whole() {
    Message m;
    m.kind = Kind::pingFor, m.crew = "harbour", m.from = "n1", m.target = "n2";
    m.life = UINT64_MAX, m.round = 77;
    m.records = {{"n1", "10.0.0.1:7000", 5, 2, 9, State::alive, ""}, {"n3", "10.0.0.3:65535", UINT64_MAX, 1, 1, State::doubted, "n1"}};
    m.items = {{"standing", "n1", std::string("\0\xff", 2) + "yes", 123456789012, 40}};
    m.topic = "note", m.bytes = std::string(kPayload, 'x');
    return m;
}

Unreadable why(const std::string& bytes, const std::string& crew = "harbour") {
    Message m;
    return decode(bytes, crew, m);
}

}  // namespace

TEST_CASE("a message is read as it was written, and takes no more room than is reckoned") {
    Message m = whole(), back;
    std::string bytes = encode(m);
    REQUIRE(decode(bytes, "harbour", back) == Unreadable::none);
    CHECK(back.kind == m.kind);
    CHECK(back.from == "n1");
    CHECK(back.target == "n2");
    CHECK(back.life == m.life);
    CHECK(back.round == 77);
    REQUIRE(back.records.size() == 2);
    CHECK(newer(back.records[1], m.records[1]) == 0);
    CHECK(back.records[1].by == "n1");
    CHECK(back.records[1].address == "10.0.0.3:65535");
    REQUIRE(back.items.size() == 1);
    CHECK(back.items[0].bytes == m.items[0].bytes);
    CHECK(back.items[0].version == m.items[0].version);
    CHECK(back.items[0].ageMs == 40);
    CHECK(back.bytes == m.bytes);
    size_t room = roomOf(m) + roomOf(m.records[0]) + roomOf(m.records[1]) + roomOf(m.items[0]);
    CHECK(bytes.size() <= room);
}

TEST_CASE("every prefix, and every byte spoilt in every way, is refused") {
    std::string bytes = encode(whole());
    for (size_t n = 0; n < bytes.size(); ++n) CHECK(why(bytes.substr(0, n)) != Unreadable::none);
    CHECK(why(bytes + "x") != Unreadable::none);
    for (size_t n = 0; n < bytes.size(); ++n) {
        for (int bit = 0; bit < 8; ++bit) {
            std::string bad = bytes;
            bad[n] = static_cast<char>(bad[n] ^ (1 << bit));
            if (why(bad) == Unreadable::none) FAIL_CHECK("byte " << n << " bit " << bit);
        }
    }
}

TEST_CASE("another crew, another version, a key, a name or an address that is none: each is refused by its reason") {
    CHECK(why(encode(whole()), "other") == Unreadable::crew);
    Message later = whole();
    later.lowest = kHighest + 1, later.highest = kHighest + 2;
    CHECK(why(encode(later)) == Unreadable::version);
    later.lowest = kLowest;
    CHECK(why(encode(later)) == Unreadable::none);  // it speaks ours too
    std::string keyed = encode(whole());
    keyed[3] = 7;
    CHECK(why(keyed) == Unreadable::key);
    CHECK(why("") == Unreadable::header);
    for (const char* name : {"", "a b", "a\nb", "\xc3\xa4"}) {
        Message m = whole();
        m.from = name;
        CHECK(why(encode(m)) == Unreadable::form);
    }
    for (const char* at : {"", "10.0.0.1", "10.0.0.1:0", "10.0.0.256:1", "10.0.0.1:65536", "10.0.0:1", "h:1", "1.2.3.4:5 "}) {
        Message m = whole();
        m.records[0].address = at;
        CHECK(why(encode(m)) == Unreadable::form);
    }
    Message m = whole();
    m.records[0].incarnation = kCountMost + 1;
    CHECK(why(encode(m)) == Unreadable::form);
    m = whole(), m.records[0].joined = 10;  // above its incarnation
    CHECK(why(encode(m)) == Unreadable::form);
    m = whole(), m.bytes += "x";
    CHECK(why(encode(m)) == Unreadable::form);
}

TEST_CASE("a table of as many members as are remembered is read; one more is not") {
    Message m;
    m.kind = Kind::table, m.crew = "harbour", m.from = "n1";
    for (size_t i = 0; i < kMembers; ++i) {
        m.records.push_back({"member-" + std::to_string(i), "10.0.0.1:7000", i, 1, 1, State::alive, ""});
    }
    std::string bytes = encode(m);
    CHECK(bytes.size() < kTable);
    Message back;
    CHECK(decode(bytes, "harbour", back) == Unreadable::none);
    m.records.push_back(m.records[0]);
    CHECK(why(encode(m)) == Unreadable::form);
}

TEST_CASE("arrays in arrays, as deep as a datagram holds, cost no stack") {
    CHECK(why(sealed(std::string(kDatagram - 20, '\x81'))) == Unreadable::form);
    CHECK(why(sealed(std::string(kTable - 20, '\x81'))) == Unreadable::form);
    CHECK(why(sealed(std::string(400, '\x9f'))) == Unreadable::form);   // without lengths
    CHECK(why(sealed("\x9b\xff\xff\xff\xff\xff\xff\xff\xff")) == Unreadable::form);  // a length that is none
    CHECK(why(sealed("\x5b\x7f\xff\xff\xff\xff\xff\xff\xff")) == Unreadable::form);
}

// So many by PETRELPOND_FUZZ, for long runs; each has a right check sum, so that the form is what is tried.
TEST_CASE("bodies changed at random are read whole or not at all, and what is read can be written") {
    const char* asked = std::getenv("PETRELPOND_FUZZ");
    long tries = asked ? std::atol(asked) : 60000, read = 0;
    std::mt19937 chance(11);
    std::vector<std::string> seeds = {encode(whole()).substr(12), encode(Message{}).substr(12)};
    Message table = whole();
    table.kind = Kind::answer;
    for (int i = 0; i < 20; ++i) table.records.push_back(table.records[i % 2]);
    seeds.push_back(encode(table).substr(12));
    for (long i = 0; i < tries; ++i) {
        std::string body = seeds[chance() % seeds.size()];
        for (uint32_t n = 1 + chance() % 6; n > 0 && !body.empty(); --n) {
            size_t at = chance() % body.size();
            switch (chance() % 5) {
                case 0:
                    body[at] = static_cast<char>(chance());
                    break;
                case 1:
                    body.erase(at, 1 + chance() % 8);
                    break;
                case 2:
                    body.insert(at, body.substr(chance() % body.size(), chance() % 64));
                    break;
                case 3:
                    body[at] = static_cast<char>(0x80 + chance() % 0x40);
                    break;
                default:
                    body.insert(at, 1, static_cast<char>(chance()));
            }
        }
        Message m;
        if (decode(sealed(body), "harbour", m) != Unreadable::none) continue;
        ++read;
        Message again;
        if (decode(encode(m), "harbour", again) != Unreadable::none) FAIL_CHECK("read, but not as written, at " << i);
    }
    CHECK(read > tries / 1000);  // the changes were not all hopeless
}
