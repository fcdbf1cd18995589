// The rules of the whole system, judged from what the stand-ins saw on their sockets and from nothing that
// the system says of itself. Free of I/O and clocks: whoever plays a part reports here, in the order of time.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "petrelpond/time.hpp"

namespace petrelpond::range {

enum class Rule {
    mixed,
    unasked,
    twice,
    refused,
    denied,
    route,
    drain,
    lost,
    gone,
    config,
    forgotten,
    acks,
    budget,
    limit,
    recover,
    ends
};
constexpr size_t kRules = 16;
std::string_view nameOf(Rule);

struct Bounds {
    Span contact = Span::millis(4000), ack = Span::millis(5000), drain = Span::millis(3000),
         grace = Span::seconds(6), lossSlack = Span::millis(200), configApply = Span::millis(3000),
         rollbackSlack = Span::millis(250), stretchMost = Span::millis(12000),
         budgetWindow = Span::seconds(10), recovery = Span::seconds(12), catchUp = Span::seconds(4),
         addressReuse = Span::seconds(2);
    double retryRatio = 0.2, retrySlack = 52, rejectionSlack = 10;
};

struct RouteRule {
    std::string host, prefix;
    std::vector<std::string> to;  // services with a weight above 0
};

struct Version {
    int64_t number = 0;
    bool valid = true;
    std::string text;
    std::vector<RouteRule> routes;
    const RouteRule* find(std::string_view host, std::string_view path) const;  // the longest prefix
};

// A try of a client, with an id of its own.
struct Sent {
    std::string id, method, host, target;  // target: path and query
    uint64_t body = 0;                     // its digest
    bool repeatable = false;
    int machine = 0;
    Instant deadline;
    bool owed = true;   // false: it only shows which configuration is in force
    bool kept = false;  // on a connection that has carried others before
};

struct Breach {
    Rule rule;
    Instant at;
    std::string words;
};

class Judge {
  public:
    // machines: by number, whether each is of the core.
    // cores: of how many at a time a majority is counted; 0: of all of the core.
    Judge(Bounds, std::vector<bool> machines, size_t cores = 0);

    // ---- troubles, made by us
    void down(Instant, int machine);  // killed, told to end, or frozen
    void up(Instant, int machine, bool newLife);
    void harmed(int machine, Instant from, Instant until);  // its links or its disk, while it runs
    void planned(Instant, int machine);                     // SIGTERM; besides down()
    void reloads(Instant, int machine);                     // SIGHUP
    void disturbed(Instant from, Instant until);            // of endpoints, links or clients
    void ownEnd(Instant, int machine, const std::string& words);
    void platformAway(Instant, bool away);  // down or slow
    // Who reports has kept up until now. Said now and then; silence in between means that it could not look,
    // and time in which it did not is not held against a machine. Never said: it always keeps up.
    void watching(Instant);

    // ---- clients
    void sent(Instant, Sent);
    // seal, echo: empty where the answer has none.
    void got(Instant, const std::string& id, int status, const std::string& seal, const std::string& echo,
             uint64_t body);
    void stray(Instant, int machine, int status);  // an answer where no request waits; 0: bytes that are none
    void spoilt(Instant, const std::string& id);   // bytes that are no answer in the place of one
    void broken(Instant, const std::string& id);   // its connection ended without a whole answer
    void left(Instant, const std::string& id);     // it closed its connection before the answer

    // ---- endpoints
    // misdirected: it named another endpoint and is told so.
    void reached(Instant, const std::string& id, const std::string& endpoint, const std::string& service,
                 bool misdirected = false);
    void turnedAway(Instant, const std::string& id, const std::string& service);  // full; besides reached()
    void ran(Instant, const std::string& id, const std::string& service, std::string_view method,
             std::string_view target, uint64_t body);
    // As written whole to the system. status 0: it broke off, or what it wrote was no answer.
    void answered(Instant, const std::string& id, int status, const std::string& seal, uint64_t body);
    // Dropped at work, as the caller's connection ended; wouldEnd: when its work would have ended.
    void abandoned(Instant, const std::string& id, Instant wouldEnd);
    void leaves(Instant shown, const std::string& endpoint);  // the list shows it as draining from then on

    // ---- operators
    void offered(Instant, Version);  // sent for the first time
    void acknowledged(Instant, int64_t number);
    void turnedDown(Instant, int64_t number);  // 4xx
    // Asked for at `asked`; one at the end has to come.
    void readBack(Instant, int64_t number, const std::string& text, Instant asked, bool closing);
    void readBack(Instant now, int64_t number, const std::string& text) {
        readBack(now, number, text, now, true);
    }

    void finish(Instant);
    const std::vector<Breach>& breaches() const { return breaches_; }
    int broken(Rule r) const { return counts_[static_cast<size_t>(r)]; }
    int all() const;
    bool inTouch(int machine, Instant from, Instant to) const;  // at every moment of that span

  private:
    struct Trouble {
        Instant from, until;
    };
    struct Given {
        int status;
        std::string seal;
        uint64_t body;
    };
    struct Request {
        Sent is;
        Instant at;
        int life = 0, runs = 0, arrivals = 0, open = 0;  // open: runs without their end
        bool promised = false, endpointBroke = false;
        Instant leftAt = Instant::never();  // when its client closed the connection
        std::vector<Given> given;
    };
    struct Machine {
        bool core = false, isDown = false;
        size_t downAs = 0;  // index of its trouble
        int life = 0;
        std::vector<Trouble> troubles;
        std::vector<Instant> terms, hups;
        std::vector<std::pair<Instant, int64_t>>
            effects;  // of versions in this life, each higher than before
    };
    struct Change {
        Version is;
        Instant offeredAt, ackedAt = Instant::never();
        bool down = false;
    };
    struct Service {
        std::deque<Instant> requests, repeats, rejections;
        Instant budgetToldAt = Instant::longAgo(), limitToldAt = Instant::longAgo();
    };
    void ended(Request&, bool served);
    bool calmBut(Instant term, const Request&, Instant now) const;
    bool wasTakenOn(const Request&, Instant now) const;
    Span unwatched(Instant from, Instant until) const;
    void judgeCut(Instant now, const Request&);
    bool isGone(Instant now, const Request&) const;
    void judgeWorkForGone(Instant ended, Instant wouldEnd, const Request&);
    void finishGone(Instant now);
    void breach(Rule, Instant, std::string words);
    bool calm(const std::vector<Trouble>&, Instant from, Instant to) const;
    bool settled(Instant from, Instant to) const;
    bool majority(Instant from, Instant to) const;
    std::string nameOf(const Request&) const;
    // The lowest version that may still be in force for it, by its machine's bound; nothing: no bound holds.
    std::optional<int64_t> floorFor(Instant now, const Request&) const;
    void handled(Instant now, Request&, const std::vector<int64_t>& allowing, bool effect,
                 const std::string& how);
    void checkAck(Instant end, const Change&);
    bool lacksAnywhere(const Request&, int64_t floor) const;
    bool drainClockRan(Instant shown, Instant now) const;

    Bounds bounds_;
    size_t cores_;
    std::vector<Machine> machines_;
    std::unordered_map<std::string, Request> requests_;
    std::map<int64_t, Change> changes_;
    std::unordered_map<std::string, Instant> leaving_;
    std::map<std::string, Service> services_;
    std::vector<Trouble> disturbances_, platform_, unwatched_;
    Instant watchedAt_ = Instant::never();
    std::vector<std::pair<Instant, bool>> outcomes_;  // of requests by when they were sent: served?
    long denied_ = 0, keptCut_ = 0;
    // Of clients that had left: requests that reached an endpoint later than half a second after; repeatable
    // ones that would have lasted so long, and of these those at which an endpoint was still at work then.
    long goneArrivals_ = 0, goneLasting_ = 0, goneWorking_ = 0;
    bool platformIsAway_ = false, readBack_ = false;
    std::vector<Breach> breaches_;
    std::array<int, kRules> counts_{};
};

}  // namespace petrelpond::range
