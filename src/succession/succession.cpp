#include "src/succession/succession.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace petrelpond::succession {

namespace {

// The kill comes 3.7 s after the word to leave. A client that connected ahead of its first request has that
// long to ask; what the old process still holds waits for it, so that it is not waited for to the last.
constexpr Span kLongest = Span::millis(3400), kForClients = Span::millis(1200);
constexpr size_t kMostNumbers = 64;

}  // namespace

Start startOf(const std::vector<Found>& found, bool beside) {
    Start start;
    Number newest = 0;
    for (const Found& f : found) {
        newest = std::max(newest, f.number);
        if (f.held) start.awaits.push_back(f.number);
    }
    start.refused = !start.awaits.empty() && !beside;
    // It never goes on in a store that is older than one which another process has.
    start.makes = !start.awaits.empty();
    start.own = start.makes ? newest + 1 : newest;
    for (const Found& f : found) {
        if (!f.held && f.number != start.own) start.takes.push_back(f.number);
    }
    std::sort(start.takes.begin(), start.takes.end());
    std::sort(start.awaits.begin(), start.awaits.end());
    return start;
}

bool Heir::serves() const {
    return std::none_of(before_.begin(), before_.end(), [](auto& one) { return one.second == State::serves; });
}

Leaver::Step Leaver::next(Instant now, const Sight& sight) {
    if (now - told_ >= kLongest) return Step::end;
    if (sight.accepts || sight.starts) return Step::wait;
    if (!handed_) return handed_ = true, Step::handOver;
    if (sight.calls > 0) return Step::wait;
    return sight.clients == 0 || now - told_ >= kForClients ? Step::end : Step::wait;
}

std::string learnedLine(const std::string& endpoint, const std::vector<double>& numbers) {
    std::string line = "learned " + endpoint;
    for (double x : numbers) {
        char digits[40];
        auto [end, error] = std::to_chars(digits, digits + sizeof digits, x);
        (void)error;
        line.append(" ").append(digits, end);
    }
    return line + " .\n";
}

std::string handedLine() { return "handed .\n"; }

// A line that was cut off has no dot at its end.
Line readLine(std::string_view line) {
    std::vector<std::string_view> words;
    while (!line.empty()) {
        size_t end = std::min(line.find(' '), line.size());
        words.push_back(line.substr(0, end));
        line.remove_prefix(std::min(end + 1, line.size()));
        if (words.size() > kMostNumbers + 3) return {};
    }
    Line read;
    if (words.size() < 2 || words.back() != ".") return read;
    if (words[0] == "handed" && words.size() == 2) read.what = Line::What::handed;
    if (words[0] != "learned" || words.size() < 3 || words[1].empty()) return read;
    read.endpoint = words[1];
    for (size_t i = 2; i + 1 < words.size(); ++i) {
        double x = 0;
        auto [end, error] = std::from_chars(words[i].data(), words[i].data() + words[i].size(), x);
        if (error != std::errc() || end != words[i].data() + words[i].size() || !std::isfinite(x)) return {};
        read.numbers.push_back(x);
    }
    read.what = Line::What::learned;
    return read;
}

}  // namespace petrelpond::succession
