// Clients as the platform brings them in: open-loop arrivals, kept and new connections, deadlines, further
// tries.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "fleet/system/machines.hpp"
#include "system/network/http_answer.hpp"
#include "system/network/http_caller.hpp"

namespace petrelpond::range {

// Which senders get new connections: asked for readiness every second, out after two misses.
class Door {
  public:
    Door(network::Loop&, const Machines&);
    // The sender for this client's try; other tries go to others.
    int pick(const std::string& zone, uint64_t client, int tryNo) const;
    bool isIn(int machine) const { return in_[static_cast<size_t>(machine)]; }
    size_t edges() const { return edges_.size(); }

  private:
    void ask();
    network::Loop& loop_;
    const Machines& machines_;
    std::vector<int> edges_;  // numbers
    std::vector<bool> in_;
    std::vector<int> misses_;
    std::vector<std::unique_ptr<network::HttpCaller>> callers_;
};

struct FlowResult {
    long asked = 0, inAim = 0, late = 0, refused = 0, failed = 0, open = 0, tries = 0;
    long left = 0;                   // closed their connection before the answer
    std::map<int, long> lastStatus;  // of what was not served; 0: no answer
    std::vector<double> millis;      // of what was served
};

// A request to one sender beside the flows: its status, 0 where no answer came.
using Asked = std::function<void(int status)>;

class Clients {
  public:
    Clients(network::Loop&, Judge&, const Plan&, const Machines&, Door&, std::vector<std::string> zones,
            uint64_t seed);
    ~Clients();
    // For a function of a group and a flow: its route's host and prefix.
    static std::string host(const Plan&, size_t flow);
    static std::string prefix(const Plan&, size_t flow, int function);
    void start(Instant until);
    void burst(int group, double factor, Span lasts);
    void direct(int machine, const std::string& host, const std::string& path, Asked);
    const std::vector<FlowResult>& results() const { return results_; }
    size_t underWay() const { return asks_.size(); }
    long connections() const { return connections_; }
    void giveUp();  // what is still open counts so

  private:
    struct Line;
    struct Ask {
        uint64_t number = 0;
        int flow = -1;  // -1: direct
        std::string host, path, method, body, zone;
        bool repeatable = true, chunked = false, keeps = false;
        int client = 0, tries = 0, machine = 0;
        bool refusedOnly = true;  // no try may have run
        Instant cameAt, deadline, sentAt;
        Instant leavesAt = Instant::never();
        bool halfCloses = false;
        std::string attempt;
        Line* line = nullptr;
        network::TimerId timer = 0;
        int lastStatus = 0;
        Asked asked;
    };
    void arrive(size_t flow);
    void attempt(Ask&);
    bool isFaithful(int client) const;
    Line* openLine(Ask&);
    void write(Ask&);
    void timed(uint64_t number);
    void answered(Line&, const network::HttpAnswer&);
    void unanswered(Ask&, bool connected);
    void again(Ask&, Span wait);
    void over(Ask&, int status);
    void leave(Ask&);
    Span drawWork(const FlowPlan&);
    void arm(Ask&);
    void bury(Line&);
    int drawFunction(const GroupPlan&, size_t group);
    double between(double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(chance_);
    }

    network::Loop& loop_;
    Judge& judge_;
    const Plan& plan_;
    const Machines& machines_;
    Door& door_;
    std::vector<std::string> zones_;
    std::mt19937_64 chance_;
    std::vector<FlowResult> results_;
    std::vector<double> factors_;                         // by group
    std::vector<std::discrete_distribution<int>> draws_;  // by group
    std::map<uint64_t, Ask> asks_;
    std::map<uint64_t, std::unique_ptr<Line>> lines_;
    std::map<int, std::map<int, std::vector<Line*>>> idle_;  // by client and machine
    uint64_t nextAsk_ = 1, nextLine_ = 1, nextAttempt_ = 1;
    long connections_ = 0;
    Instant until_;
};

}  // namespace petrelpond::range
