// Small indices. A host turns whatever its protocol calls things into these at the door, counted from 0
// for each sender on its own, so that no decision can hang on how senders are spread over processes.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace petrelpond {

template <class Tag>
struct Index {
    static constexpr uint32_t kNone = UINT32_MAX;
    uint32_t value = kNone;
    constexpr Index() = default;
    constexpr explicit Index(size_t v) : value(static_cast<uint32_t>(v)) {}
    constexpr bool isKnown() const { return value != kNone; }
    constexpr auto operator<=>(const Index&) const = default;
};

using TextIndex = Index<struct TextTag>;
using EndpointIndex = Index<struct EndpointTag>;
using DestinationIndex = Index<struct DestinationTag>;
using ProductIndex = Index<struct ProductTag>;
using ZoneIndex = Index<struct ZoneTag>;
using KindIndex = Index<struct KindTag>;

// Small indices for one sender's names, in the order in which it met them. Of a name it keeps the string and
// its places in a table of indices, no more: there may be tens of thousands.
template <class Ix>
class NameTable {
  public:
    Ix intern(std::string_view name) {
        if (Ix known = find(name); known.isKnown()) return known;
        if (2 * (used_ + 1) > table_.size()) rebuild();
        Ix ix = free_.empty() ? Ix(names_.size()) : free_.back();
        if (free_.empty()) names_.emplace_back();
        if (!free_.empty()) free_.pop_back();
        names_[ix.value] = name;
        enter(ix.value);
        return ix;
    }
    // The name is forgotten, and the next one that comes gets its index.
    void release(Ix index) {
        for (size_t at = slotOf(names_.at(index.value)); table_[at] != kEmpty; at = next(at)) {
            if (table_[at] == index.value) {
                table_[at] = kLeft;
                break;
            }
        }
        names_[index.value] = std::string();
        free_.push_back(index);
    }
    Ix find(std::string_view name) const {
        if (table_.empty()) return Ix();
        for (size_t at = slotOf(name); table_[at] != kEmpty; at = next(at)) {
            if (table_[at] != kLeft && names_[table_[at]] == name) return Ix(table_[at]);
        }
        return Ix();
    }
    const std::string& name(Ix index) const { return names_.at(index.value); }

  private:
    static constexpr uint32_t kEmpty = UINT32_MAX, kLeft = UINT32_MAX - 1;
    size_t slotOf(std::string_view name) const {
        return std::hash<std::string_view>()(name) & (table_.size() - 1);
    }
    size_t next(size_t at) const { return (at + 1) & (table_.size() - 1); }
    void enter(uint32_t ix) {
        size_t at = slotOf(names_[ix]);
        while (table_[at] != kEmpty) at = next(at);
        table_[at] = ix, ++used_;
    }
    // Twice the room for those that live; what has left is swept out.
    void rebuild() {
        std::vector<uint32_t> live;
        for (uint32_t ix : table_) {
            if (ix < kLeft) live.push_back(ix);
        }
        size_t size = 16;
        while (size < 3 * (live.size() + 1)) size *= 2;
        table_.assign(size, kEmpty), used_ = 0;
        for (uint32_t ix : live) enter(ix);
    }
    std::vector<std::string> names_;
    std::vector<uint32_t> table_;  // open addressing, at most half full
    std::vector<Ix> free_;
    size_t used_ = 0;  // entries of the table that are not empty
};

}  // namespace petrelpond
