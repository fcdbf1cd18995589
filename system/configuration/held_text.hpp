// The newest text of the configuration that a process has: taken from others whole or as a change, and given
// on in the shortest form that the receiver can use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "system/network/words.hpp"

namespace petrelpond::configuration {

// Names one text. Of two the higher is newer.
struct TextId {
    int64_t version = 0;  // 0: none
    uint64_t digest = 0;
    auto operator<=>(const TextId&) const = default;
};

enum class Taking {
    taken,
    older,      // not newer than what is held: nothing changes
    otherBase,  // a change from a text that is not held: ask for the whole
    damaged,    // it can't be unpacked, or another text than was meant comes out: ask for the whole
};

class HeldText {
  public:
    // How many earlier texts are kept, for changes from them. Whoever lags behind by more gets the whole.
    explicit HeldText(size_t basesKept = 0) : basesKept_(basesKept) {}

    // What came over a link. A text whose digest is not the one that was named is never held.
    Taking take(const network::Config&);
    // What the register holds. False: not newer.
    bool adopt(TextId, std::string text);

    TextId id() const { return id_; }
    const std::string& text() const { return text_; }
    bool any() const { return id_.version > 0; }

    network::Config plain() const;
    // For a receiver that holds `base`; TextId{}: it holds nothing, or what it holds is of no use.
    const network::Config& configFor(TextId base);

  private:
    struct Former {
        TextId id;
        std::string text;
    };
    void replace(TextId, std::string text);
    network::Config packedFor(const Former* base) const;

    size_t basesKept_;
    TextId id_;
    std::string text_;
    std::deque<Former> formers_;                // newest first
    std::map<TextId, network::Config> packed_;  // of the newest text, by the receiver's base
};

}  // namespace petrelpond::configuration
