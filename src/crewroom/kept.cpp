// The incarnation in the folder that lasts: one line with a check sum.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <charconv>

#include "src/crewroom/room.hpp"
#include "src/files/whole.hpp"

namespace petrelpond {

namespace {

constexpr const char* kName = "/.crew";  // with a dot, so that the store leaves it alone
constexpr std::string_view kHead = "petrelpond crew 1 ";
constexpr size_t kMost = 256;

std::string lineOf(uint64_t incarnation) {
    std::string body = std::string(kHead) + std::to_string(incarnation) + " ";
    return body + std::to_string(XXH3_64bits(body.data(), body.size())) + "\n";
}

}  // namespace

uint64_t keptIncarnation(const std::string& folder, std::string& problem) {
    std::string bytes;
    if (!files::readWhole(folder + kName, bytes, kMost)) return 0;
    uint64_t kept = 0;
    if (bytes.starts_with(kHead)) std::from_chars(bytes.data() + kHead.size(), bytes.data() + bytes.size(), kept);
    if (bytes == lineOf(kept) && kept <= crew::kCountMost) return kept;
    problem = folder + kName + " can't be read; the others' word counts";
    return 0;
}

std::string keepIncarnation(const std::string& folder, uint64_t incarnation) {
    return files::replaceWhole(folder + kName, lineOf(incarnation));
}

}  // namespace petrelpond
