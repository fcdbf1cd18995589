#include "system/configuration/held_text.hpp"

#include <algorithm>

#include "system/configuration/configuration.hpp"
#include "system/configuration/packing.hpp"
#include "system/network/link.hpp"

namespace petrelpond::configuration {

using network::Config;
using network::Packing;

Taking HeldText::take(const Config& config) {
    const TextId id{config.version, config.digest};
    if (id <= id_) return Taking::older;
    const TextId base{config.baseVersion, config.baseDigest};
    std::optional<std::string> text;
    switch (static_cast<Packing>(config.packing)) {
        case Packing::plain:
            text = config.bytes;
            break;
        case Packing::whole:
            text = unpacked(config.bytes, network::kMostConfiguration);
            break;
        case Packing::change:
            if (base != id_) return Taking::otherBase;
            text = unpackedChange(text_, config.bytes, network::kMostConfiguration);
            break;
    }
    // Against bytes that were damaged or packed against another text than they say: what is in force must be
    // what a majority chose. Harm: one pass over the text.
    if (!text || digest(*text) != config.digest) return Taking::damaged;
    replace(id, std::move(*text));
    // Given on as it came to those who hold the same base: no second packing on a small machine.
    const auto packing = static_cast<Packing>(config.packing);
    if (packing == Packing::whole) packed_[TextId{}] = config;
    if (packing == Packing::change) packed_[base] = config;
    return Taking::taken;
}

bool HeldText::adopt(TextId id, std::string text) {
    if (id <= id_) return false;
    replace(id, std::move(text));
    return true;
}

void HeldText::replace(TextId id, std::string text) {
    if (basesKept_ > 0 && any()) {
        formers_.push_front({id_, std::move(text_)});
        if (formers_.size() > basesKept_) formers_.pop_back();
    }
    packed_.clear();
    id_ = id;
    text_ = std::move(text);
}

Config HeldText::plain() const {
    Config config;
    config.version = id_.version, config.digest = id_.digest;
    config.packing = static_cast<uint8_t>(Packing::plain);
    config.bytes = text_;
    return config;
}

const Config& HeldText::configFor(TextId base) {
    if (const auto known = packed_.find(base); known != packed_.end()) return known->second;
    const auto former =
        std::find_if(formers_.begin(), formers_.end(), [&](const Former& each) { return each.id == base; });
    if (former == formers_.end()) {
        const auto [whole, fresh] = packed_.try_emplace(TextId{});
        if (fresh) whole->second = packedFor(nullptr);
        return whole->second;
    }
    Config change = packedFor(&*former);
    // A change that is nearly another text may be longer than the whole.
    constexpr size_t kSurelyShorter = 16;  // no text packs to less than this part of its length
    if (change.bytes.size() > text_.size() / kSurelyShorter) {
        const Config& whole = configFor(TextId{});
        if (whole.bytes.size() <= change.bytes.size()) change = whole;
    }
    return packed_[base] = std::move(change);
}

Config HeldText::packedFor(const Former* base) const {
    Config config;
    config.version = id_.version, config.digest = id_.digest;
    if (base) {
        config.baseVersion = base->id.version, config.baseDigest = base->id.digest;
        config.packing = static_cast<uint8_t>(Packing::change);
        config.bytes = packedChange(base->text, text_);
    } else {
        config.packing = static_cast<uint8_t>(Packing::whole);
        config.bytes = packed(text_);
    }
    return config;
}

}  // namespace petrelpond::configuration
