// The settings as path=value, whichever way they came, and the one reader that turns them into the parts
// that a sender is made from. It states what the settings say and chooses nothing.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "petrelpond/sender.hpp"

namespace petrelpond {

// What is wrong with something read; whoever reads adds where it stood.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

std::vector<std::string_view> splitList(std::string_view text);
int64_t toInteger(std::string_view name, std::string_view text);
uint64_t toUnsigned(std::string_view name, std::string_view text);
double toNumber(std::string_view name, std::string_view text);

// One of several words; anything else is Malformed.
template <class Value>
Value named(std::string_view text, std::initializer_list<std::pair<std::string_view, Value>> words) {
    for (const auto& [word, value] : words) {
        if (word == text) return value;
    }
    throw Malformed("'" + std::string(text.substr(0, 40)) + "' is no word known here");
}

// A path that is absent reads as the given value.
class Settings {
  public:
    void add(std::string path, std::string value) { values_[std::move(path)] = std::move(value); }
    int64_t integer(const std::string& path, int64_t absent = 0) const;
    double number(const std::string& path, double absent = 0) const;
    bool flag(const std::string& path, bool absent = false) const;
    std::string_view text(const std::string& path) const;
    std::vector<std::string_view> list(const std::string& path) const { return splitList(text(path)); }

  private:
    std::map<std::string, std::string> values_;
};

// The names that the settings know, by small indices.
struct Names {
    NameTable<EndpointIndex> endpoints;
    NameTable<DestinationIndex> destinations;
    NameTable<ProductIndex> products;
    NameTable<ZoneIndex> zones;
    NameTable<KindIndex> kinds;
};

std::vector<EndpointKind> readKinds(const Settings& set, Names& names);
SenderLimits readRoom(const Settings& set);
std::set<std::string> readOrdered(const Settings& set);  // products whose keys keep their order
Span readLongestValidity(const Settings& set);  // of all products
ConnectionRule readLinks(const Settings& set);
EndpointListRule readListRule(const Settings& set);
int readCrewSize(const Settings& set);
// The places in a load report of the limit in calls a second and of the share of it that is left; -1 where
// answers carry none.
struct ReportFields {
    int limit = -1, left = -1;
};
ReportFields readReportFields(const Settings& set);
std::unique_ptr<Sender> readSender(const Settings& set, uint64_t seed, Names& names);

}  // namespace petrelpond
