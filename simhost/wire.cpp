#include "simhost/wire.hpp"

namespace petrelpond::wire {

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

}  // namespace petrelpond::wire
