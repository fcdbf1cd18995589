#include "src/program/config.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "src/transport/socket.hpp"

namespace petrelpond {

namespace {

std::string variable(const char* name, std::string_view otherwise = "") {
    const char* value = std::getenv(name);
    return value && *value ? std::string(value) : std::string(otherwise);
}

uint64_t readSeed(const json::Value* value) {
    if (!value) return 0;
    uint64_t seed = 0;
    const std::string& text = value->text;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (error != std::errc() || end != text.data() + text.size()) throw Malformed("seed is no hex number");
    return seed;
}

// Links between the senders. All mistakes are told by their place in the file.
void readCrew(const json::Value& value, Config& config) {
    auto wrong = [](const std::string& where, const std::string& what) { throw Malformed("crew" + where + " " + what); };
    if (value.type != json::Value::Type::object) wrong("", "must be an object");
    crew::Settings& c = config.crew;
    auto text = [&](const char* name, bool needed) {
        const json::Value* v = value.member(name);
        if (!v && needed) wrong(std::string(".") + name, "is missing");
        if (v && v->type != json::Value::Type::string) wrong(std::string(".") + name, "must be a string");
        return v ? v->text : std::string();
    };
    auto address = [&](const std::string& where, const std::string& at) {
        if (!crew::goodAddress(at)) wrong(where, "is no address of four numbers and a port: '" + at + "'");
        return at;
    };
    c.crew = text("name", true), c.name = config.name;
    if (!crew::goodName(c.crew)) wrong(".name", "must be 1 to 64 letters, digits, dots, dashes or underlines: '" + c.crew + "'");
    if (!crew::goodName(c.name)) wrong("", "needs a sender's name of 1 to 64 letters, digits, dots, dashes or underlines, not '" + c.name + "'");
    config.crewListen = address(".listen", text("listen", true));
    std::string announced = text("announce", false);
    c.address = announced.empty() ? config.crewListen : address(".announce", announced);
    if (const json::Value* seeds = value.member("seeds")) {
        if (seeds->type != json::Value::Type::array) wrong(".seeds", "must be a list of addresses");
        for (size_t i = 0; i < seeds->items.size(); ++i)
            c.seeds.push_back(address(".seeds[" + std::to_string(i) + "]", seeds->items[i].text));
    }
    if (const json::Value* routes = value.member("routes")) {
        if (routes->type != json::Value::Type::object) wrong(".routes", "must be an object of names and addresses");
        for (const auto& [name, at] : routes->members) c.routes[name] = address(".routes." + name, at.text);
    }
    auto millis = [&](const char* name, Span& into, int64_t least, int64_t most) {
        const json::Value* v = value.member(name);
        if (!v) return;
        bool fine = v->type == json::Value::Type::number && v->number >= static_cast<double>(least) && v->number <= static_cast<double>(most);
        if (!fine) wrong(std::string(".") + name, "must be a number from " + std::to_string(least) + " to " + std::to_string(most));
        into = Span::millis(static_cast<int64_t>(v->number));
    };
    millis("round_ms", c.round, 50, 60000), millis("ack_ms", c.ackWithin, 10, 30000);
    millis("spread_ms", c.spreadEvery, 20, 10000), millis("exchange_ms", c.exchangeEvery, 500, 3600000);
    millis("seek_ms", c.seekEvery, 200, 3600000);
    if (c.ackWithin >= c.round) wrong(".ack_ms", "must be below crew.round_ms, " + std::to_string(c.round.inMicros() / 1000));
    static const char* known[] = {"name", "listen", "announce", "seeds", "routes", "round_ms", "ack_ms", "spread_ms", "exchange_ms", "seek_ms"};
    for (const auto& [name, member] : value.members) {
        if (std::find(std::begin(known), std::end(known), name) == std::end(known)) wrong("." + name, "is not known");
    }
}

}  // namespace

Config readConfig() {
    std::string path = variable("LB_CONFIG");
    std::ifstream file(path);
    if (!file) throw Malformed("LB_CONFIG names no file that can be read: '" + path + "'");
    std::string bytes{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    auto value = json::parse(bytes);
    if (!value) throw Malformed(path + " is not JSON");
    Config config;
    config.name = variable("LB_NAME", value->textOf("name"));
    config.listen = variable("LB_LISTEN", value->textOf("listen"));
    config.discovery = value->textOf("discovery");
    if (config.discovery.empty()) config.discovery = variable("LB_DISCOVERY");
    config.state = variable("LB_STATE", value->textOf("state"));
    // Anything but a number is told as a descriptor that does not listen.
    if (std::string fd = variable("LB_FD"); !fd.empty()) {
        auto [end, error] = std::from_chars(fd.data(), fd.data() + fd.size(), config.listener);
        if (error != std::errc() || end != fd.data() + fd.size() || config.listener < 0) config.listener = 1 << 30;
    }
    config.ops = variable("LB_OPS", value->textOf("ops"));
    config.seed = readSeed(value->member("seed"));
    if (const json::Value* limits = value->member("limits")) {
        auto limit = [&](const char* name, int64_t& into) {
            const json::Value* v = limits->member(name);
            if (v && v->number >= 1 && v->number < 1e9) into = static_cast<int64_t>(v->number);
        };
        limit("memory_mb", config.memoryMb), limit("sockets", config.sockets),
            limit("disk_mb", config.diskMb);
    }
    if (const json::Value* known = value->member("known")) {
        auto list = readMembers(*known);
        if (list) config.known = std::move(*list);  // else discovery tells
    }
    if (const json::Value* settings = value->member("settings")) flatten(*settings, config.settings);
    std::string kept = variable("PETRELPOND_STORE", "written");
    if (kept == "grouped" || kept.starts_with("grouped:")) {
        config.durability = Durability::grouped;
        int millis = 2;
        std::string_view span = std::string_view(kept).substr(std::min<size_t>(8, kept.size()));
        auto [end, error] = std::from_chars(span.data(), span.data() + span.size(), millis);
        bool odd = !span.empty() && (error != std::errc() || end != span.data() + span.size());
        if (odd || millis < 0 || millis > 1000) throw Malformed("PETRELPOND_STORE: no span of 0 to 1000 ms: '" + kept + "'");
        config.gatherFor = Span::millis(millis);
    } else if (kept == "each") {
        config.durability = Durability::each;
    } else if (kept != "written") {
        throw Malformed("PETRELPOND_STORE must be written, grouped, grouped:MS or each, not '" + kept + "'");
    }
    std::string reserve = variable("PETRELPOND_STORE_RESERVE", "0");
    if (reserve != "0" && reserve != "1") throw Malformed("PETRELPOND_STORE_RESERVE must be 0 or 1");
    config.reserve = reserve == "1";
    config.replica = variable("PETRELPOND_REPLICA");
    if (!config.replica.empty() && !Address::parse(config.replica)) {
        throw Malformed("PETRELPOND_REPLICA is no address: '" + config.replica + "'");
    }
    if (const json::Value* crew = value->member("crew")) readCrew(*crew, config);
    if (config.listen.empty() || config.discovery.empty() || config.state.empty()) {
        throw Malformed("LB_LISTEN, LB_DISCOVERY and LB_STATE must be given");
    }
    return config;
}

}  // namespace petrelpond
