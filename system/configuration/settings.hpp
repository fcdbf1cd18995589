// The settings file that a process is told of at its start: read whole, checked, and put into types.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "petrelpond/time.hpp"
#include "system/network/result.hpp"

namespace petrelpond::configuration {

using network::Problem;
using network::Result;

// An IPv4 address in dotted numbers and a port from 1 to 65535.
struct Address {
    std::string ip;
    uint16_t port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
    auto operator<=>(const Address&) const = default;
};

// Reads "10.0.0.1:80"; nothing if it is not four numbers up to 255, a colon and a port.
std::optional<Address> parseAddress(std::string_view text);

struct Platform {
    Address address;
    double ratePerS = 26.0;   // calls a second that all senders together may make
    double dutyPerS = 150.0;  // starts and stops a second, all senders together
    int maxLagMs = 800;       // milliseconds that its lists may lag
    std::set<std::string> duties;
};

// The figures of the rules in force. A figure that is missing has the value of the example page.
struct Bounds {
    Span seedLag = Span::seconds(3);
    Span addressReuse = Span::seconds(2);
    Span contact = Span::millis(4000);
    Span ack = Span::millis(5000);
    Span catchUp = Span::seconds(4);
    Span drain = Span::millis(3000);
    Span grace = Span::seconds(6);
    Span lossSlack = Span::millis(200);
    Span configApply = Span::millis(3000);
    Span rollbackSlack = Span::millis(250);
    Span stretchMax = Span::millis(12000);
    double retryBudgetRatio = 0.2;  // second sends for each request
    Span budgetWindow = Span::seconds(10);
    double retrySlack = 52;  // requests
    Span recovery = Span::seconds(12);
    double rejectionSlack = 10;  // requests
};

struct ResourceLimits {
    double cpuShare = 0.25;  // part of a core, above 0
    int memoryMb = 260;
    int fileDescriptors = 4100;
    double linkMbps = 1000.0;  // megabits a second
    int diskMb = 0;
};

// How many may be lost at the same time while every rule still holds.
struct Tolerance {
    int machineLosses = 1;
    int zones = 0;
    int regions = 0;
};

struct Settings {
    std::string nodeName, role, machineClass, ip, zone, region;
    std::map<std::string, std::string> zones;  // zone -> region
    std::optional<Address> front, readiness, control;
    int portFirst = 0, portLast = 0;  // both included
    std::vector<Address> seeds;       // may be empty, when no machine serves control
    bool bootstrap = false;           // false when missing: a start on old disks is the careful guess
    bool quorumMember = false;
    ResourceLimits limits;
    std::optional<std::string> dataDir;  // nothing: the machine has no disk
    std::optional<Platform> platform;
    Bounds bounds;
    Tolerance tolerance;
    std::set<std::string> contracts;
    Span heartbeat = Span::millis(1200);
    // Fields that are not necessary, were there, and could not be used, each with its path. They have their
    // default (or nothing); the caller should log them.
    std::vector<std::string> doubts;
};

// Errors: the file cannot be opened or read, or whatever parseSettings finds. The file may change while it is
// read; the caller reads again after an error.
Result<Settings> readSettings(const std::string& path);

// `name` is named in the Problem. Errors: not YAML, or a necessary field (node_name, role, ip_address, zone,
// internal_port_range, seed_nodes) is missing or wrong; one Problem lists all of them.
Result<Settings> parseSettings(std::string_view yaml, std::string_view name);

}  // namespace petrelpond::configuration
