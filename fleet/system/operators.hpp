// The operators: configurations that change step by step, each call repeated over the senders that serve
// control until it has a clear answer, and the reading back at the end.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "fleet/system/clients.hpp"
#include "fleet/system/platform.hpp"

namespace petrelpond::range {

struct ChangeResult {
    int64_t version = 0;
    bool valid = true;
    Instant offeredAt, ackedAt = Instant::never(), allActAt = Instant::never();
    int calls = 0, refusedWith = 0;
    size_t acting = 0;  // senders seen to act on it
};

class Operators {
  public:
    Operators(network::Loop&, Judge&, const Plan&, const Machines&, const Door&, Clients&,
              const std::vector<ServicePlan>&, uint64_t seed);
    ~Operators();
    void first();
    void change();
    void race();  // two at once, to two cores
    void bad();
    void old();  // an older one arrives again
    void readBack(Span lasts, bool closing);
    void probe();  // some times a second: which senders act on the newest change
    // After an acknowledgement, once: the machine that gave it.
    void onNextAck(std::function<void(int machine)> what) { onAck_ = std::move(what); }
    const std::vector<ChangeResult>& results() const { return results_; }
    int64_t readVersion() const { return readVersion_; }
    int reads() const { return reads_; }
    int readWell() const { return readWell_; }

  private:
    struct RouteState {
        std::string name, host, prefix;
        int flow = 0;
        std::vector<std::pair<std::string, double>> to;
        Span timeout;
    };
    struct Call {
        int64_t version = 0;
        std::string text;
        size_t result = 0;  // index
        bool valid = true;
        int core = 0, odd4xx = 0, tries = 0;
        Span pause = Span::millis(100);
    };
    std::string text(int64_t version, const std::vector<RouteState>&) const;
    void mutate();
    int anyCore();
    int inService(int core) const;
    int64_t offer(const std::string& text, bool valid, int64_t version, const std::vector<RouteState>&);
    void send(std::shared_ptr<Call>);
    void answered(std::shared_ptr<Call>, int core, int status);
    void read(Instant until, bool closing);
    std::string markPath(int64_t version) const;

    network::Loop& loop_;
    Judge& judge_;
    const Plan& plan_;
    const Machines& machines_;
    const Door& door_;
    Clients& clients_;
    const std::vector<ServicePlan>& services_;
    std::mt19937_64 chance_;
    std::vector<int> cores_;
    std::vector<std::unique_ptr<network::HttpCaller>> callers_;  // by core
    std::vector<RouteState> routes_;
    int64_t version_ = 0, marked_ = 0, droppedMark_ = 0;
    std::string oldText_;
    int64_t oldVersion_ = 0;
    std::vector<ChangeResult> results_;
    std::function<void(int)> onAck_;
    // Of the newest mark: the result it belongs to and who acts on it.
    size_t markResult_ = 0;
    std::set<int> acting_;
    int rounds_ = 0;
    int64_t readVersion_ = 0;
    int reads_ = 0, readWell_ = 0;
};

}  // namespace petrelpond::range
