// Typed indices for the objects that a sender decides about. The host maps protocol names to indices when they enter,
// counting from 0 for each sender, so that no decision depends on how senders are spread over processes.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace petrelpond {

// A dense index; kNone means "no such object". The tag keeps indices of different objects from being mixed.
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

// Assigns dense indices to one sender's names, in order of first use. It stores each string once and finds it through
// an open-addressing hash table of indices, because there may be tens of thousands of names.
template <class Ix>
class NameTable {
  public:
    // The name's index, newly assigned if the name is unknown.
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
    // Removes the name; its index is reused for a name that is interned later.
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
    // The name's index, or one for which isKnown() is false.
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
    // Resizes the table for the live entries and drops the tombstones.
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
    std::vector<uint32_t> table_;  // open addressing with linear probing, at most half full
    std::vector<Ix> free_;
    size_t used_ = 0;  // table entries that are not kEmpty, tombstones included
};

}  // namespace petrelpond
