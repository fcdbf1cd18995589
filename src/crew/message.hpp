// What members of a crew say to each other, and its form on the wire: a header with a check sum, then CBOR.
// Bytes in, values out. The layout is written down in docs/crew-design.md.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace petrelpond::crew {

constexpr size_t kDatagram = 1200;        // bytes, header included: what any path carries whole
constexpr size_t kTable = 512 * 1024;     // of a whole table, by stream
constexpr size_t kName = 64, kTopic = 24, kPayload = 256;
constexpr size_t kMembers = 4096;         // whom one member remembers
constexpr uint64_t kCountMost = uint64_t{1} << 48;  // of incarnations; what says more is not believed
constexpr uint8_t kLowest = 1, kHighest = 1;        // versions of the messages that this build speaks

// In the order in which one supersedes another at the same incarnation.
enum class State : uint8_t { alive, doubted, dead, left };
std::string_view wordOf(State state);

// What is said of one member. A name may have had several lives (processes); the one that began with the higher
// incarnation is the later and supersedes the others.
struct Record {
    std::string name, address;  // host:port, where it says that it is reached
    uint64_t life = 0;          // drawn at the start of its process
    uint64_t joined = 0;        // the incarnation with which that life began
    uint64_t incarnation = 0;   // raised by the member alone, to take back what is said of it
    State state = State::alive;
    std::string by;  // who doubts or gave it up
};
// Above zero where `a` supersedes `b`, a total order, so that whoever has heard the same believes the same.
int newer(const Record& a, const Record& b);

// The newest word of one member on a topic.
struct Item {
    std::string topic, origin, bytes;
    uint64_t version = 0;  // grows, over the lives of its origin too
    uint32_t ageMs = 0;    // since its origin said it, the hops' waits summed up
};

enum class Kind : uint8_t {
    ping,     // answered by an ack
    ack,
    nack,     // a helper's: nothing heard yet from whom it was asked to ping
    pingFor,  // ping `target` on my behalf
    news,     // carries records and items alone
    direct,   // one message to one member
    contest,  // a process says that the name is its own
    table,    // by stream: all that is known, an answer is wanted
    answer    // by stream: the same back
};

struct Message {
    Kind kind = Kind::news;
    uint8_t lowest = kLowest, highest = kHighest;
    std::string crew, from, target;  // target: whom it is meant for
    uint64_t life = 0;               // of the process that speaks
    uint64_t round = 0;              // of the ping that is answered
    std::vector<Record> records;
    std::vector<Item> items;
    std::string topic, bytes;  // of a direct message
};

// At most so many bytes on the wire: of a message without records and items, and of each of these.
size_t roomOf(const Message& message);
size_t roomOf(const Record& record);
size_t roomOf(const Item& item);

std::string encode(const Message& message);
std::string sealed(std::string_view body);  // a body with its head, whatever it says

enum class Unreadable : uint8_t { none, header, checkSum, key, form, version, crew, count };
std::string_view wordOf(Unreadable why);
// Whole or not at all. The members, items and names of a message read are within the bounds above.
Unreadable decode(std::string_view bytes, std::string_view crew, Message& into);

bool goodName(std::string_view name);      // letters, digits, dot, dash, underline
bool goodAddress(std::string_view hostPort);

}  // namespace petrelpond::crew
