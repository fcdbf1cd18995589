#include "src/operators/orders.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <charconv>

namespace petrelpond::operators {

namespace {

constexpr std::string_view kHead = "petrelpond orders 1\n";

std::string hex(uint64_t value) {
    char out[17];
    auto [end, error] = std::to_chars(out, out + 16, value, 16);
    (void)error;
    return {out, end};
}

}  // namespace

Answer answerTo(const Call& call, const Orders& now, const Facts& facts) {
    Orders next = now;
    auto done = [&](std::string words) {
        Answer answer{true, std::move(words), std::nullopt};
        if (!(next == now)) answer.change = std::move(next);
        return answer;
    };
    switch (call.verb) {
        case Call::Verb::status: {
            if (!facts.serves) return {false, facts.whyNot, std::nullopt};
            std::string words = now.drained ? "drained" : "serving";
            if (!now.out.empty()) words += ", " + std::to_string(now.out.size()) + " endpoints out";
            if (!facts.crew.empty()) words += ", " + facts.crew;
            return done(std::move(words));
        }
        case Call::Verb::members:
            if (facts.members.empty()) return {false, "this sender is told of no crew", std::nullopt};
            return done(facts.members);
        case Call::Verb::outOn:
        case Call::Verb::outOff: {
            bool isOut = now.out.count(call.endpoint) > 0;
            if (!isOut && !facts.listed) return {false, "no such endpoint: " + call.endpoint, std::nullopt};
            if (call.verb == Call::Verb::outOn) {
                next.out.insert(call.endpoint);
                return done(call.endpoint + (isOut ? " was out already" : " is out"));
            }
            next.out.erase(call.endpoint);
            return done(call.endpoint + (isOut ? " is in use again" : " was not out"));
        }
        case Call::Verb::standby:
            next.drained = true;
            return done(now.drained ? "was drained already" : "drained");
        case Call::Verb::active:
            next.drained = false;
            return done(now.drained ? "serving again" : "was not drained");
    }
    return {};
}

std::string lineOf(bool yes, std::string_view words) {
    return (yes ? "SUCCESS " : "FAILURE ") + std::string(words) + "\n";
}

std::string written(const Orders& orders) {
    std::string body(kHead);
    if (orders.drained) body += "drained\n";
    for (const std::string& id : orders.out) body += "out " + id + "\n";
    return body + "sum " + hex(XXH3_64bits(body.data(), body.size())) + "\n";
}

std::optional<Orders> readOrders(std::string_view bytes) {
    size_t at = bytes.rfind("sum ");
    if (!bytes.starts_with(kHead) || at == std::string_view::npos) return std::nullopt;
    std::string_view body = bytes.substr(0, at);
    if (bytes.substr(at) != "sum " + hex(XXH3_64bits(body.data(), body.size())) + "\n") return std::nullopt;
    Orders orders;
    for (body.remove_prefix(kHead.size()); !body.empty();) {
        size_t end = body.find('\n');
        if (end == std::string_view::npos) return std::nullopt;
        std::string_view line = body.substr(0, end);
        body.remove_prefix(end + 1);
        if (line == "drained") {
            orders.drained = true;
        } else if (line.starts_with("out ") && line.size() > 4) {
            orders.out.emplace(line.substr(4));
        } else {
            return std::nullopt;
        }
    }
    return orders;
}

}  // namespace petrelpond::operators
