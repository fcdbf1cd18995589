// What this sender has taken on, in a file that outlasts the process: appended to, read at the start, made
// anew when it has grown. Owned by the module's actor; no other thread touches it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace petrelpond {

class OldStore {
  public:
    enum class Final { none, nacked, undeliverable };
    struct Text {
        uint64_t serial = 0;  // the order in which they were taken on
        std::string destination, product, mark, key;
        int64_t validUntil = 0;  // Unix time in microseconds, as all times here
        std::shared_ptr<const std::string> body;
        int submits = 0;
        bool out = false, mayHaveRun = false;
        int64_t startedAt = 0,
                firstMayHaveRun = 0;   // of the submit that is out; of the first that may have run
        std::string startedIn, ranIn;  // their zones
        Final final = Final::none;
        int64_t pause = 0;
    };
    using Texts = std::unordered_map<std::string, Text>;

    // Reads what is there. A tail that was torn by a kill is cut off; where no file can be had, nothing is
    // taken on.
    OldStore(std::string folder, int64_t mostBytes);
    ~OldStore();
    OldStore(const OldStore&) = delete;
    OldStore& operator=(const OldStore&) = delete;

    const Texts& texts() const { return texts_; }
    // Whether a text may still be taken on, so that its whole life fits.
    bool roomFor(size_t idBytes, size_t bodyBytes) const;
    // False: it was not written, and the text was not taken on, or its submit must not leave.
    [[nodiscard]] bool taken(const std::string& id, Text text);
    [[nodiscard]] bool begun(const std::string& id, int64_t at, const std::string& zone);
    bool ended(const std::string& id, bool mayHaveRun);
    // Delivered, over elsewhere, or told to the platform: nothing is owed any more.
    bool over(const std::string& id);
    bool final(const std::string& id, Final final, int64_t pause);
    int64_t size() const { return size_; }
    long compactions() const { return compactions_; }
    bool works() const { return fd_ >= 0; }

  private:
    std::string path(const char* name) const { return folder_ + "/" + name; }
    void read();
    bool apply(std::string_view record);
    bool append(const std::string& record);
    bool compact();
    void account(const Text& text, const std::string& id, int sign);

    std::string folder_;
    int64_t most_, size_ = 0, live_ = 0;
    int fd_ = -1;
    uint64_t nextSerial_ = 1;
    long compactions_ = 0;
    int64_t compactAt_ = 0;
    Texts texts_;
};

}  // namespace petrelpond
