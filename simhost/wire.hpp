// Reading and writing the lines of the wire. It knows names and numbers, and nothing of what they mean.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace petrelpond::wire {

// What is wrong with a line; the reader adds which line it was.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Line {
  public:
    explicit Line(std::string_view text);
    std::string_view tag() const { return tag_; }
    bool has(std::string_view name) const;
    std::string_view text(std::string_view name) const;  // throws Malformed where it is absent
    int64_t integer(std::string_view name) const;
    int64_t integerOr(std::string_view name, int64_t absent) const;
    uint64_t unsignedInteger(std::string_view name) const;
    double numberOr(std::string_view name, double absent) const;
    const std::vector<std::pair<std::string_view, std::string_view>>& fields() const { return fields_; }

  private:
    std::string_view tag_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

std::vector<std::string_view> splitList(std::string_view text);
int64_t toInteger(std::string_view name, std::string_view text);
uint64_t toUnsigned(std::string_view name, std::string_view text);
double toNumber(std::string_view name, std::string_view text);

// The start-up settings as path=value; a path that is absent reads as the given value.
class Settings {
  public:
    explicit Settings(const Line& line);
    int64_t integer(const std::string& path, int64_t absent = 0) const;
    double number(const std::string& path, double absent = 0) const;
    bool flag(const std::string& path, bool absent = false) const;
    std::string_view text(const std::string& path) const;
    std::vector<std::string_view> list(const std::string& path) const { return splitList(text(path)); }

  private:
    std::map<std::string, std::string_view> values_;
};

}  // namespace petrelpond::wire
