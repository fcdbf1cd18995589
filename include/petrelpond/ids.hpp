// Small indices. A host turns whatever its protocol calls things into these at the door, counted from 0
// for each sender on its own, so that no decision can hang on how senders are spread over processes.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace petrelpond {

template <class Tag>
struct Index {
    static constexpr uint32_t kNone = UINT32_MAX;
    uint32_t value = kNone;
    constexpr Index() = default;
    constexpr explicit Index(size_t v) : value(static_cast<uint32_t>(v)) {}
    constexpr bool known() const { return value != kNone; }
    constexpr auto operator<=>(const Index&) const = default;
};

using TextIx = Index<struct TextTag>;
using EndpointIx = Index<struct EndpointTag>;
using DestinationIx = Index<struct DestinationTag>;
using ProductIx = Index<struct ProductTag>;
using ZoneIx = Index<struct ZoneTag>;
using KindIx = Index<struct KindTag>;

// Small indices for one sender's names, in the order in which it met them.
template <class Ix>
class Door {
  public:
    Ix admit(std::string_view name) {
        auto [at, fresh] =
            indices_.try_emplace(std::string(name), free_.empty() ? Ix(names_.size()) : free_.back());
        if (!fresh) return at->second;
        if (free_.empty()) names_.emplace_back();
        if (!free_.empty()) free_.pop_back();
        return names_[at->second.value] = at->first, at->second;
    }
    // The name is forgotten, and the next one that comes gets its index.
    void release(Ix index) {
        indices_.erase(names_.at(index.value));
        names_[index.value].clear();
        free_.push_back(index);
    }
    Ix find(std::string_view name) const {
        auto at = indices_.find(std::string(name));
        return at == indices_.end() ? Ix() : at->second;
    }
    const std::string& name(Ix index) const { return names_.at(index.value); }

  private:
    std::unordered_map<std::string, Ix> indices_;
    std::vector<std::string> names_;
    std::vector<Ix> free_;
};

}  // namespace petrelpond
