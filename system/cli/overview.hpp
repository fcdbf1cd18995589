// Many cores' answers to GET /status made into one picture, with what they disagree on and what nobody could
// tell. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "system/network/result.hpp"
#include "system/network/stream.hpp"

namespace petrelpond::cli {

struct PeerView {
    std::string ip;
    std::optional<double> heardAgo;  // seconds; nothing: it has no link to that core now
};
struct AgentView {
    std::string name, ip, zone;
    double heardAgo = 0;  // seconds
    int64_t version = 0;  // of the configuration that it has; 0: none
};
struct ServiceView {
    std::string name;
    uint64_t up = 0, booting = 0, draining = 0, slots = 0, waiting = 0, busy = 0;
};
struct MemberView {
    std::string ip;
    bool votes = false, catchingUp = false, standby = false, leaving = false, suspected = false;
    double silent = 0;  // seconds since the teller heard it
};
struct CoreView {
    std::string name, ip, zone;
    bool leaving = false;
    int64_t onMajority = 0, held = 0;  // versions; 0: none
    bool counts = false, selfIsVoter = false, recovering = false, saveFailed = false;
    std::vector<std::string> voters, seeds;
    std::vector<PeerView> peers;
    std::vector<MemberView> members;    // voters and standbys as this core hears them
    std::optional<int64_t> lossesLeft;  // voters that may still be lost, as this core hears them
    std::string holder;                 // of the duty, its ip; empty: nobody known
    uint64_t term = 0;
    bool heldHere = false;
    std::optional<double> left;  // seconds that the duty is surely held here
    uint64_t agentsLinked = 0;   // agents may list fewer
    std::vector<AgentView> agents;
    bool plans = false;  // it told of services
    uint64_t servicesKnown = 0;
    std::vector<ServiceView> services;
    std::vector<std::pair<std::string, uint64_t>> plannerCounts;  // of the planner, in the order told
};
// What is missing stands as its default, so that cores of another version can be asked; no object at all is a
// Problem. `from` is named in it.
network::Result<CoreView> readStatus(std::string_view json, const std::string& from);

struct Answer {  // of one address that was asked
    network::Address address;
    std::optional<CoreView> core;
    std::string why;       // where there is no core
    bool guessed = false;  // its port was told by nobody
};

// Addresses worth asking that have not been asked: seeds as told; peers' and voters' ips at the port of the
// core that told of them.
struct Hint {
    network::Address address;
    bool guessed = false;
};
std::vector<Hint> hints(const std::vector<Answer>& asked);

struct Overview {
    std::vector<Answer> cores;  // by ip, each once
    std::vector<std::string> voters;
    bool votersAgreed = false;
    size_t countedHere = 0;  // disks of the voters that answered and count
    bool majority = false;
    int64_t version = 0;                // the newest known to lie on a majority
    std::optional<std::string> holder;  // ip; nothing: not agreed on, or nobody
    uint64_t term = 0;
    std::vector<AgentView> agents;      // by name; the lowest version that a core told
    bool agentsWhole = true;            // false: some core listed fewer than it has links to
    const CoreView* planner = nullptr;  // points into cores
    std::vector<std::string> disagreements, unknown;
};
Overview merge(std::vector<Answer> answers);

std::string overviewText(const Overview&);
std::string overviewJson(const Overview&);

// Which agents lack a version, by name.
std::vector<std::string> lacking(const Overview&, int64_t version);

}  // namespace petrelpond::cli
