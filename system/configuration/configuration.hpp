// The operator's configuration: read, checked whole, and made ready to pick routes by.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "petrelpond/time.hpp"
#include "system/network/result.hpp"

namespace petrelpond::configuration {

using network::Problem;
using network::Result;

struct Route {
    std::string name, host, prefix;
    bool repeatable = false;  // may run more than once
    Span timeout;             // the longest that the operator wants a request held; above 0
    Span target;              // the time within which an answer earns its full worth
    int priority = 2;         // 0 is highest
    int maxAttempts = 1;      // endpoints that one try may be sent to, at least 1
    // Service and weight. Weights are 0 or more, their sum is above 0, and they need not add up to 1.
    std::vector<std::pair<std::string, double>> to;
};

// The service that a request on the route goes to. `point`, at least 0 and below 1, is drawn at random: each
// service gets the part of the requests that its weight is of the sum.
const std::string& pickService(const Route&, double point);

struct Service {
    std::string name;
    std::optional<std::string> healthPath;
    int maxConnections = 1;  // that one endpoint takes from all callers together
    int memoryMb = 128;      // of one endpoint on a worker
    Span boot = Span::millis(1000);
    int maxConcurrency = 1;  // requests that one endpoint holds at once
};

struct Limits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 262144;
    Span headerTimeout = Span::millis(3000);
    Span idleTimeout = Span::millis(15000);
};

struct Configuration {
    int64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    Limits limits;
    std::string text;  // exactly as sent
};

// Errors: one Problem that lists every mistake with its JSON path. Fields it does not know are skipped.
Result<std::shared_ptr<const Configuration>> readConfiguration(std::string_view json);

// The same without the pass over the schema, for text that was checked before it was spread or stored.
// Nothing if it cannot be read; mistakes that only break a rule between fields are let pass.
std::shared_ptr<const Configuration> trusted(std::string_view json);

// XXH3, 64 bits. Tells texts apart; no defence against someone who seeks two texts with the same digest.
uint64_t digest(std::string_view text);

// Picks routes and services of one configuration, which it keeps alive. Never changes after it is built, so
// any number of threads may ask it. Pointers hold as long as the table's configuration.
class RouteTable {
  public:
    explicit RouteTable(std::shared_ptr<const Configuration> configuration);
    // `host` with or without a port, in any case; `path` with or without a query. Null if there is no route.
    const Route* find(std::string_view host, std::string_view path) const;
    const Service* service(std::string_view name) const;
    const std::shared_ptr<const Configuration>& configuration() const { return configuration_; }

  private:
    struct Hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view s) const { return digest(s); }
    };
    // `parent`: index of the longest other prefix of this host that begins this one, or -1.
    struct Entry {
        std::string_view prefix;
        const Route* route;
        int parent;
    };
    std::shared_ptr<const Configuration> configuration_;
    std::unordered_map<std::string, std::vector<Entry>, Hash, std::equal_to<>> hosts_;  // sorted by prefix
    std::unordered_map<std::string_view, const Service*, Hash, std::equal_to<>> services_;
};

}  // namespace petrelpond::configuration
