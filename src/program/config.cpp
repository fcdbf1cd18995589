#include "src/program/config.hpp"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>

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
    if (config.listen.empty() || config.discovery.empty() || config.state.empty()) {
        throw Malformed("LB_LISTEN, LB_DISCOVERY and LB_STATE must be given");
    }
    return config;
}

}  // namespace petrelpond
