// What operators have ordered and not called back, and what each call makes of it. No input or output.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "src/operators/call.hpp"

namespace petrelpond::operators {

struct Orders {
    std::set<std::string> out;  // ids of endpoints that get nothing new
    bool drained = false;
    bool operator==(const Orders&) const = default;
};

struct Facts {  // of the sender, as the call comes
    bool serves = false;
    std::string whyNot;  // where it does not serve
    bool listed = false;  // the endpoint that the call names is
    std::string crew{}, members{};  // how many of the crew are there, and who, in one line each; empty: no crew
};

struct Answer {
    bool yes = false;
    std::string words;
    std::optional<Orders> change;  // what holds from now on, once it is written down
};

Answer answerTo(const Call& call, const Orders& now, const Facts& facts);
std::string lineOf(bool yes, std::string_view words);  // with its end

// As they are kept. Nothing where a byte of it is not as it was written.
std::string written(const Orders& orders);
std::optional<Orders> readOrders(std::string_view bytes);

}  // namespace petrelpond::operators
