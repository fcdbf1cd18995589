// The stand-in of the platform: workers, starts and stops of endpoints, the lists, which lag and are
// rationed.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

#include "fleet/system/judge.hpp"
#include "fleet/system/plan.hpp"
#include "system/network/http_server.hpp"

namespace petrelpond::range {

struct ServicePlan {
    std::string name;
    int group = 0, slots = 1, memoryMb = 128, connections = 64;
    Span boot;
};

struct PlatformCounts {
    long lists = 0, rationed = 0, starts = 0, stops = 0, noRoom = 0, fenced = 0, crashed = 0, connects = 0,
         full = 0, runs = 0, misdirected = 0, struck = 0;
    size_t mostInstances = 0;
};

class Platform;

// One endpoint. It begins to listen once it has booted; works on so many requests at once; has no queue.
class Endpoint final : public network::HttpHost {
  public:
    Endpoint(Platform&, uint64_t number, const ServicePlan&, std::string worker, network::Address,
             Instant upAt);
    void open();
    void stop();   // listens no more, ends its work
    void crash();  // all connections are reset
    bool gone() const { return over_ && visits_.empty(); }
    void look();

    void asked(network::HttpVisit&, network::HttpRequest&&) override;
    void left(network::HttpVisit&) override;
    void hungUp(network::HttpVisit&) override;
    const network::HttpLimits& limits() const override { return limits_; }

    const uint64_t number;
    const ServicePlan& service;
    const std::string id, worker;
    const network::Address address;
    const Instant upAt;
    Instant drainsAt = Instant::never(), endsAt = Instant::never(), stoppedAt = Instant::never();
    bool crashed = false;

  private:
    struct Visit {
        std::unique_ptr<network::HttpVisit> http;
        int fd = -1;
        network::TimerId work = 0;
        Instant workEnds;
        std::string attempt, before;  // before: the attempt whose answer went out last
        std::string refusalCopy;      // sent once more before the next answer
    };
    void finish(uint64_t visit, bool late, uint64_t pieces);
    void drop(std::map<uint64_t, Visit>::iterator, bool reset);
    Platform& of_;
    network::HttpLimits limits_;
    std::unique_ptr<network::Listener> listener_;
    std::map<uint64_t, Visit> visits_;
    uint64_t nextVisit_ = 1;
    int busy_ = 0;
    double pace_;
    bool over_ = false;
};

class Platform final : public network::HttpHost {
  public:
    Platform(network::Loop&, Judge&, const Plan&, std::vector<ServicePlan>, std::vector<std::string> zones,
             uint32_t network, uint64_t seed);
    ~Platform() override;
    void open(network::Address);
    void crashWorker(Span away);
    void drainWorker(Span away);
    void setDown(bool);
    void setSlow(Span by);          // zero: no more
    void strike(const FaultPlan&);  // from now on, until its end
    const PlatformCounts& counts() const { return counts_; }

    void asked(network::HttpVisit&, network::HttpRequest&&) override;
    void left(network::HttpVisit&) override;
    const network::HttpLimits& limits() const override { return limits_; }

  private:
    friend class Endpoint;
    struct Worker {
        std::string name, zone;
        int memory = 0, used = 0;
        bool down = false;
        Instant drainsAt = Instant::never();
        std::deque<std::pair<Instant, int>> freeMemory;  // as it changed, for the lag
    };
    struct Allowance {  // so many a second
        double rate = 1, left = 1;
        Instant at;
        bool take(Instant now);
    };
    std::optional<Kind> struck(const ServicePlan&);  // what is done to an answer, if anything
    bool refusesTwice(const ServicePlan&);           // whether a request is turned away, and told so twice
    bool strikes(const FaultPlan&, Instant until, const ServicePlan&);
    void answer(network::HttpVisit&, int status, std::string body);
    void endpoints(network::HttpVisit&, std::string_view query);
    void workers(network::HttpVisit&);
    void initiate(network::HttpVisit&, const network::HttpRequest&);
    void halt(network::HttpVisit&, const network::HttpRequest&);
    bool fenced(const network::HttpRequest&);
    Endpoint* byId(const std::string& id);
    Worker* worker(const std::string& name);
    void take(Worker&, int memory);
    void ended(Endpoint&);  // its memory is free again, its address after a while
    network::Address freshAddress();
    Worker* drawWorker();
    void sweep();
    double between(double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(chance_);
    }

    network::Loop& loop_;
    Judge& judge_;
    const Plan& plan_;
    std::vector<ServicePlan> services_;
    std::vector<Worker> workers_;
    std::map<std::string, std::unique_ptr<Endpoint>> endpoints_;  // by id; the ended ones too
    std::vector<Endpoint*> living_;
    std::map<std::pair<std::string, std::string>, std::string> nonces_;  // service and nonce: endpoint
    std::deque<std::pair<Instant, network::Address>> freed_;
    uint32_t network_, nextAddress_ = 0;
    std::mt19937_64 chance_;
    network::HttpLimits limits_;
    network::Address at_;
    std::unique_ptr<network::Listener> listener_;
    std::unordered_map<uint64_t, std::unique_ptr<network::HttpVisit>> visits_;
    uint64_t nextVisit_ = 1, nextEndpoint_ = 1, highestFence_ = 0;
    Allowance lists_, duties_;
    Span slow_;
    bool down_ = false;
    std::vector<std::pair<FaultPlan, Instant>> strikes_;  // until
    PlatformCounts counts_;
};

uint64_t digestOf(std::string_view bytes);

}  // namespace petrelpond::range
