#include "src/operators/call.hpp"

#include <algorithm>
#include <vector>

namespace petrelpond::operators {

namespace {

struct Form {
    const char* name;
    Call::Verb verb;
    bool namesEndpoint;
};
constexpr Form kForms[] = {{"status", Call::Verb::status, false},
                           {"maint-on", Call::Verb::outOn, true},
                           {"maint-off", Call::Verb::outOff, true},
                           {"standby", Call::Verb::standby, false},
                           {"active", Call::Verb::active, false},
                           {"members", Call::Verb::members, false}};

}  // namespace

bool readCall(std::string_view line, Call& call, std::string& problem) {
    auto no = [&](std::string words) { return problem = std::move(words), false; };
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.size() >= kMostLine) return no("the line is too long");
    // What is written back or logged must be one line of text.
    bool text = std::all_of(line.begin(), line.end(), [](char c) { return (c >= ' ' && c <= '~') || c == '\t'; });
    if (!text) return no("the line holds bytes that are no text");
    std::vector<std::string_view> words;
    for (size_t at = 0; at < line.size();) {
        size_t begin = line.find_first_not_of(" \t", at);
        if (begin == std::string_view::npos) break;
        size_t end = std::min(line.find_first_of(" \t", begin), line.size());
        words.push_back(line.substr(begin, end - begin));
        at = end;
    }
    if (words.empty()) return no("the line is empty");
    for (const Form& form : kForms) {
        if (words[0] != form.name) continue;
        std::string name = form.name;
        if (form.namesEndpoint && words.size() < 2) return no(name + " needs an endpoint's id");
        size_t most = form.namesEndpoint ? 2 : 1;
        if (words.size() > most) return no(name + ": too many words");
        call = {form.verb, form.namesEndpoint ? std::string(words[1]) : std::string()};
        return true;
    }
    return no("no such call: " + std::string(words[0].substr(0, 40)) +
              "; known are status, maint-on ID, maint-off ID, standby, active, members");
}

}  // namespace petrelpond::operators
