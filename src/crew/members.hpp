// Who of the crew is there, as one member sees it: a failure detector in the manner of SWIM (Das, Gupta,
// Motivala 2002) with what Lifeguard added (Dadgar, Phillips, Currey 2018). No sockets, files or clocks: inputs
// only update what is known, then the host pulls what is to be done. docs/crew-design.md says why so.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "petrelpond/ids.hpp"
#include "petrelpond/time.hpp"
#include "src/crew/message.hpp"

namespace petrelpond::crew {

using MemberIx = Index<struct MemberTag>;

struct Settings {
    std::string crew, name, address;            // address: where others reach us
    std::vector<std::string> seeds;             // asked for the others; they may start later
    std::map<std::string, std::string> routes;  // whom we reach elsewhere than where he says
    Span round = Span::millis(500);             // between two pings of ours
    Span ackWithin = Span::millis(200);         // then others are asked to ping for us
    Span spreadEvery = Span::millis(200), exchangeEvery = Span::seconds(20), seekEvery = Span::seconds(3);
    Span forget = Span::seconds(3600);  // what is dead or left
    int helpers = 3, spreadTo = 3;
    int spreadFactor = 4;               // a word is passed on so often, times log10 of the crew
    int doubtFactor = 4;                // a doubt lasts so many rounds, times log10 of the crew, if others share it,
    int doubtMost = 6;                  // and so many times that if nobody does
    int doubters = 3;                   // others who must share it for that
    int healthMost = 8;
    int bytesPerSecond = 32768;  // for words that are spread; pings and answers are bounded by the rounds
};

// What one member believes of another.
struct Seen {
    std::string name, address;
    State state = State::alive;
    Span since;      // in that state
    Span heard;      // since it itself was last heard
    bool ever = false;  // it was
    uint64_t incarnation = 0;
    int doubters = 0, doubtersWanted = 0;  // how surely it is doubted
};

enum class Phase : uint8_t { seeking, asking, in, aside, left };
std::string_view wordOf(Phase phase);

// clang-format off
#define PETRELPOND_CREW_COUNTS(X) \
    X(pings) X(pingsForOthers) X(acks) X(probesMissed) X(doubtsRaised) X(doubtsHeard) X(doubtsRefuted) X(deaths) \
    X(returns) X(leaves) X(lateRounds) X(exchanges) X(exchangesFailed) X(misdirected) X(spreadHeldBack) X(contests)
// clang-format on
enum class Counted : uint8_t {
#define X(name) name,
    PETRELPOND_CREW_COUNTS(X)
#undef X
        kinds
};

class Members {
  public:
    struct Send { std::string to; Message message; };             // one datagram
    struct Meet { std::string at; Message table; };               // one stream: said there, the answer goes to met()
    struct Keep { uint64_t incarnation = 0; };                    // is to outlast this process
    struct Say { bool warning = false; std::string words; };      // to the operators
    struct Told { std::string from, topic, bytes; Span age; bool direct = false; };  // to the program
    using Action = std::variant<Send, Meet, Keep, Say, Told>;

    // life: drawn anew for each process. kept: the highest incarnation that was to be kept, 0 if none is there.
    Members(Settings settings, uint64_t life, uint64_t kept, uint32_t seed, Instant now);

    void heard(Instant now, const Message& message, const std::string& source);
    Message tableFor(Instant now, Kind kind) const;  // for a stream that another member opened
    void met(Instant now, const Message& answer);
    void notMet(Instant now, const std::string& at);
    void leave(Instant now);
    // The newest word on a topic, to all; false where it is too long or there are too many topics.
    bool publish(Instant now, const std::string& topic, const std::string& bytes);
    bool tell(Instant now, const std::string& name, const std::string& topic, const std::string& bytes);

    std::optional<Action> next(Instant now);
    Instant due() const;  // when next() has something to do, if nothing comes

    std::vector<Seen> view(Instant now) const;
    std::optional<Seen> seen(Instant now, const std::string& name) const;
    std::vector<Item> items(Instant now, const std::string& topic) const;  // with their ages
    Phase phase() const { return phase_; }
    int health() const { return health_; }  // 0: no doubt in ourselves
    size_t living() const { return living_; }  // alive or doubted, ourselves included
    uint64_t incarnation() const { return own_.incarnation; }
    const Settings& settings() const { return settings_; }
    long count(Counted what) const { return counts_[static_cast<size_t>(what)]; }

  private:
    struct Entry {
        Record record;
        Instant since, heardAt = Instant::longAgo();
        Instant doubtedAt;
        std::set<std::string> doubters;
        std::optional<std::pair<Instant, uint64_t>> doubtEnds;  // its timer
        std::optional<std::pair<int, uint64_t>> queued;         // its place in words_
    };
    struct Word {  // an item, and where it stands
        Item item;
        Instant at;
        std::optional<std::pair<int, uint64_t>> queued;
    };
    enum class What : uint8_t { round, ack, helped, doubtEnds, spread, exchange, seek, ask };
    struct Due {
        What what;
        MemberIx who;
        uint64_t round;
    };
    struct Probe {
        MemberIx who;
        uint64_t round = 0;
        int asked = 0, nacks = 0;
        bool acked = true;
    };
    struct Helped {  // a ping on another's behalf
        uint64_t round = 0;
        std::string to;  // the asker
        bool told = false;
    };
    using TopicKey = std::pair<std::string, std::string>;  // topic, origin

    void note(Counted what, long n = 1) { counts_[static_cast<size_t>(what)] += n; }
    std::pair<Instant, uint64_t> at(Instant when, What what, MemberIx who = {}, uint64_t round = 0);
    void advance(Instant now);
    void wokeLate(Instant now, Span gap);
    void act(Instant now, const Due& due);
    void newRound(Instant now);
    void endProbe(Instant now);
    void askHelpers(Instant now);
    void spread(Instant now);
    void exchange(Instant now);
    void seek(Instant now);

    void apply(Instant now, Record record, const std::string& from, bool table);
    void aboutUs(Instant now, const Record& record);
    void changed(Instant now, MemberIx ix, const Record& before);
    void doubt(Instant now, MemberIx ix);
    void scheduleDoubt(Instant now, MemberIx ix);
    void take(Instant now, const Item& item);
    void forgetOld(Instant now);

    void tryClaim(Instant now);
    void claim(Instant now);
    void contested(Instant now, const Message& message, const std::string& source);
    void stepAside(Instant now, const std::string& other);
    void raise(Instant now, uint64_t above);

    void unhealthy(int by) { health_ = std::max(0, std::min(settings_.healthMost, health_ + by)); }
    Span scaled(Span span) const { return span * (1.0 + health_); }
    int spreadMost() const;
    Message made(Kind kind, const std::string& target, uint64_t round) const;
    void fill(Instant now, Message& message);
    void send(Instant now, const std::string& to, Message message);
    void meet(const std::string& at, Instant now);
    const std::string& addressOf(MemberIx ix) const;
    std::vector<MemberIx> some(size_t most, MemberIx but);
    bool lives(const Entry& e) const { return e.record.state <= State::doubted; }
    uint32_t draw(uint32_t below) { return below < 2 ? 0 : static_cast<uint32_t>(chance_() % below); }
    Span jittered(Span span) { return span * (0.8 + 0.4 * (chance_() % 1000) / 1000.0); }
    Seen seenOf(Instant now, const Entry& e) const;

    Settings settings_;
    Record own_;
    uint64_t kept_;
    std::mt19937 chance_;
    Phase phase_ = Phase::seeking;
    NameTable<MemberIx> names_;
    std::vector<Entry> entries_;  // by member; not ourselves
    std::vector<MemberIx> order_;  // in which they are pinged
    size_t position_ = 0, living_ = 1;
    std::map<std::pair<int, uint64_t>, MemberIx> words_;    // records to be passed on, by how often they were
    std::map<std::pair<int, uint64_t>, TopicKey> topics_;  // items likewise
    int ownOwed_ = 0;  // messages that are still to carry a new word of ours
    std::map<TopicKey, Word> items_;
    std::map<std::pair<Instant, uint64_t>, Due> timers_;
    std::map<uint64_t, Helped> helped_;
    std::deque<Action> out_;
    Probe probe_;
    std::optional<Record> holder_;  // who has our name, while we don't take part
    std::optional<Record> rival_;   // who claims it, while we do
    int health_ = 0, asked_ = 0;
    size_t seedsTried_ = 0;
    uint64_t rounds_ = 0, serial_ = 0;
    double tokens_ = 0;
    Instant tokensAt_;
    std::array<long, static_cast<size_t>(Counted::kinds)> counts_{};
};

// Faults put in on purpose, to show that the tests find them; none of it is in the program.
enum class Defect : uint8_t { none, incarnationIgnored, doubtNeverEnds, leaveUndone };
#ifdef PETRELPOND_DEFECTS
extern Defect defect;
inline bool defective(Defect which) { return defect == which; }
#else
constexpr bool defective(Defect) { return false; }
#endif

}  // namespace petrelpond::crew
