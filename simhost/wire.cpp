#include "simhost/wire.hpp"

#include <charconv>
#include <cmath>

namespace petrelpond::wire {

namespace {

template <class Number>
Number parse(std::string_view name, std::string_view text, const char* what) {
    Number value{};
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        throw Malformed(std::string(name) + "=" + std::string(text.substr(0, 40)) + " is not " + what);
    }
    return value;
}

}  // namespace

int64_t toInteger(std::string_view name, std::string_view text) {
    return parse<int64_t>(name, text, "a whole number");
}

uint64_t toUnsigned(std::string_view name, std::string_view text) {
    return parse<uint64_t>(name, text, "a whole number, 0 or above");
}

double toNumber(std::string_view name, std::string_view text) {
    double value = parse<double>(name, text, "a number");
    if (!std::isfinite(value)) throw Malformed(std::string(name) + " is not a finite number");
    return value;
}

std::vector<std::string_view> splitList(std::string_view text) {
    std::vector<std::string_view> items;
    while (!text.empty()) {
        size_t comma = text.find(',');
        items.push_back(text.substr(0, comma));
        if (comma == std::string_view::npos) break;
        text.remove_prefix(comma + 1);
    }
    return items;
}

Line::Line(std::string_view text) {
    size_t space = text.find(' ');
    tag_ = text.substr(0, space);
    if (tag_.empty()) throw Malformed("the line is empty or starts with a space");
    while (space != std::string_view::npos) {
        text.remove_prefix(space + 1);
        space = text.find(' ');
        std::string_view part = text.substr(0, space);
        size_t equals = part.find('=');
        if (equals == std::string_view::npos || equals == 0) {
            throw Malformed("'" + std::string(part.substr(0, 40)) + "' is not name=value");
        }
        fields_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
    }
}

bool Line::has(std::string_view name) const {
    for (const auto& field : fields_) {
        if (field.first == name) return true;
    }
    return false;
}

std::string_view Line::text(std::string_view name) const {
    for (const auto& field : fields_) {
        if (field.first == name) return field.second;
    }
    throw Malformed(std::string(tag_) + " lacks " + std::string(name));
}

int64_t Line::integer(std::string_view name) const { return toInteger(name, text(name)); }
uint64_t Line::unsignedInteger(std::string_view name) const { return toUnsigned(name, text(name)); }
int64_t Line::integerOr(std::string_view name, int64_t absent) const {
    return has(name) ? integer(name) : absent;
}
double Line::numberOr(std::string_view name, double absent) const {
    return has(name) ? toNumber(name, text(name)) : absent;
}

Settings::Settings(const Line& line) {
    for (const auto& [path, value] : line.fields()) values_[std::string(path)] = value;
}

std::string_view Settings::text(const std::string& path) const {
    auto found = values_.find(path);
    return found == values_.end() ? std::string_view() : found->second;
}

int64_t Settings::integer(const std::string& path, int64_t absent) const {
    return text(path).empty() ? absent : toInteger(path, text(path));
}

double Settings::number(const std::string& path, double absent) const {
    return text(path).empty() ? absent : toNumber(path, text(path));
}

bool Settings::flag(const std::string& path, bool absent) const {
    std::string_view value = text(path);
    if (value.empty()) return absent;
    if (value == "true" || value == "1") return true;
    if (value == "false" || value == "0") return false;
    throw Malformed(path + "=" + std::string(value) + " is not true or false");
}

}  // namespace petrelpond::wire
