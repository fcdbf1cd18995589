// Parses lines of the form `TAG name=value ...`, without any knowledge of their meaning.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/protocol/settings.hpp"

namespace petrelpond::wire {

// A parsed line; it refers to the text that it was parsed from. All conversions throw Malformed.
class Line {
  public:
    explicit Line(std::string_view text);
    std::string_view tag() const { return tag_; }
    bool has(std::string_view name) const;
    std::string_view text(std::string_view name) const;  // throws Malformed if it is absent
    int64_t integer(std::string_view name) const;
    int64_t integerOr(std::string_view name, int64_t absent) const;
    uint64_t unsignedInteger(std::string_view name) const;
    double numberOr(std::string_view name, double absent) const;
    const std::vector<std::pair<std::string_view, std::string_view>>& fields() const { return fields_; }

  private:
    std::string_view tag_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

}  // namespace petrelpond::wire
