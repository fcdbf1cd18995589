// JSON, bounded in depth; the reader bounds its size by what it hands in.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace petrelpond::json {

struct Value {
    enum class Type { null, boolean, number, string, array, object };
    Type type = Type::null;
    bool truth = false;
    double number = 0;
    std::string text;  // a string, or a number as it was written
    std::vector<Value> items;
    std::vector<std::pair<std::string, Value>> members;

    const Value* member(std::string_view name) const;      // null where there is none
    std::string_view textOf(std::string_view name) const;  // empty where it is no string
};

std::optional<Value> parse(std::string_view bytes);
std::string quote(std::string_view text);

}  // namespace petrelpond::json
