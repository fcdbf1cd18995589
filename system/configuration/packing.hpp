// How the text of a configuration is packed for disks and links: compressed whole, or as the change from
// another text that the receiver has (the former text serves as the dictionary of the compression).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace petrelpond::configuration {

// The text compressed by itself.
std::string packed(std::string_view text);

// The change from `base` to `text`; as short as what differs, whatever the length of both.
std::string packedChange(std::string_view base, std::string_view text);

// The text of packed(). Nothing where it is damaged or longer than `most` bytes.
std::optional<std::string> unpacked(std::string_view bytes, size_t most);

// The text of packedChange() against the same base. Nothing where it is damaged or longer than `most` bytes.
// Another base gives another text or nothing: the caller compares the digest.
std::optional<std::string> unpackedChange(std::string_view base, std::string_view bytes, size_t most);

// What a disk or a core holds: packed(), or the plain text as it was kept before texts were packed.
std::optional<std::string> unpackedOrPlain(std::string_view bytes, size_t most);

}  // namespace petrelpond::configuration
