#include "src/protocol/json.hpp"

#include <charconv>
#include <cmath>

namespace petrelpond::json {

namespace {

constexpr int kMostDepth = 32;  // threads have small stacks

class Parser {
  public:
    explicit Parser(std::string_view bytes) : rest_(bytes) {}
    std::optional<Value> whole() {
        Value value;
        if (!take(value, 0)) return std::nullopt;
        space();
        if (!rest_.empty()) return std::nullopt;
        return value;
    }

  private:
    void space() {
        while (!rest_.empty() && std::string_view(" \t\r\n").find(rest_.front()) != std::string_view::npos) {
            rest_.remove_prefix(1);
        }
    }
    bool next(char c) {
        space();
        if (rest_.empty() || rest_.front() != c) return false;
        rest_.remove_prefix(1);
        return true;
    }
    bool word(std::string_view w) {
        if (rest_.substr(0, w.size()) != w) return false;
        rest_.remove_prefix(w.size());
        return true;
    }

    bool take(Value& out, int depth) {
        space();
        if (rest_.empty() || depth > kMostDepth) return false;
        switch (rest_.front()) {
            case '{':
                return object(out, depth);
            case '[':
                return array(out, depth);
            case '"':
                out.type = Value::Type::string;
                return string(out.text);
            case 't':
                out.type = Value::Type::boolean, out.truth = true;
                return word("true");
            case 'f':
                out.type = Value::Type::boolean;
                return word("false");
            case 'n':
                return word("null");
            default:
                return number(out);
        }
    }

    bool object(Value& out, int depth) {
        out.type = Value::Type::object;
        next('{');
        if (next('}')) return true;
        do {
            space();
            std::string name;
            Value value;
            if (!string(name) || !next(':') || !take(value, depth + 1)) return false;
            out.members.emplace_back(std::move(name), std::move(value));
        } while (next(','));
        return next('}');
    }

    bool array(Value& out, int depth) {
        out.type = Value::Type::array;
        next('[');
        if (next(']')) return true;
        do {
            Value value;
            if (!take(value, depth + 1)) return false;
            out.items.push_back(std::move(value));
        } while (next(','));
        return next(']');
    }

    bool number(Value& out) {
        size_t length = 0;
        while (length < rest_.size() &&
               std::string_view("+-.0123456789eE").find(rest_[length]) != std::string_view::npos) {
            ++length;
        }
        std::string_view digits = rest_.substr(0, length);
        auto [end, error] = std::from_chars(digits.data(), digits.data() + length, out.number);
        if (length == 0 || error != std::errc() || end != digits.data() + length) return false;
        if (!std::isfinite(out.number)) return false;
        out.type = Value::Type::number, out.text = digits;
        rest_.remove_prefix(length);
        return true;
    }

    bool hex(unsigned& out) {
        std::string_view digits = rest_.substr(0, 4);
        auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), out, 16);
        if (digits.size() != 4 || error != std::errc() || end != digits.data() + 4) return false;
        rest_.remove_prefix(4);
        return true;
    }

    static void utf8(unsigned point, std::string& out) {
        auto byte = [&](unsigned b) { out += static_cast<char>(b); };
        if (point < 0x80) return byte(point);
        if (point < 0x800) return byte(0xc0 | point >> 6), byte(0x80 | (point & 63));
        if (point < 0x10000) {
            return byte(0xe0 | point >> 12), byte(0x80 | (point >> 6 & 63)), byte(0x80 | (point & 63));
        }
        byte(0xf0 | point >> 18), byte(0x80 | (point >> 12 & 63));
        byte(0x80 | (point >> 6 & 63)), byte(0x80 | (point & 63));
    }

    bool escape(std::string& out) {
        if (rest_.empty()) return false;
        char c = rest_.front();
        rest_.remove_prefix(1);
        static constexpr std::string_view from = "\"\\/bfnrt", to = "\"\\/\b\f\n\r\t";
        size_t at = from.find(c);
        if (at != std::string_view::npos) return out += to[at], true;
        unsigned point = 0, low = 0;
        if (c != 'u' || !hex(point)) return false;
        if (point >= 0xd800 && point < 0xdc00) {
            if (!word("\\u") || !hex(low) || low < 0xdc00 || low > 0xdfff) return false;
            point = 0x10000 + ((point - 0xd800) << 10) + (low - 0xdc00);
        } else if (point >= 0xdc00 && point < 0xe000) {
            return false;
        }
        utf8(point, out);
        return true;
    }

    bool string(std::string& out) {
        if (!word("\"")) return false;
        while (!rest_.empty()) {
            char c = rest_.front();
            rest_.remove_prefix(1);
            if (c == '"') return true;
            if (static_cast<unsigned char>(c) < 0x20) return false;
            if (c != '\\') {
                out += c;
            } else if (!escape(out)) {
                return false;
            }
        }
        return false;
    }

    std::string_view rest_;
};

}  // namespace

const Value* Value::member(std::string_view name) const {
    for (const auto& [have, value] : members) {
        if (have == name) return &value;
    }
    return nullptr;
}

std::string_view Value::textOf(std::string_view name) const {
    const Value* value = member(name);
    return value && value->type == Type::string ? std::string_view(value->text) : std::string_view();
}

std::optional<Value> parse(std::string_view bytes) { return Parser(bytes).whole(); }

std::string quote(std::string_view text) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string out = "\"";
    for (char c : text) {
        auto u = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\', out += c;
        } else if (u < 0x20) {
            out += "\\u00", out += digits[u >> 4], out += digits[u & 15];
        } else {
            out += c;
        }
    }
    return out += '"';
}

}  // namespace petrelpond::json
