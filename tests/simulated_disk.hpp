// A disk that forgets: what was not synced may be lost, torn or kept out of order when the power goes, and at
// a chosen step anything may fail. One thread only.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "src/store/disk.hpp"

namespace petrelpond::store {

struct PowerLost {};

class SimulatedDisk {
  public:
    enum class Fault { none, power, full, broken, shortWrite, noSync };
    // At that step (each change counts one) the fault strikes; `full` and `broken` last until mend().
    void strike(Fault fault, long step) { fault_ = fault, at_ = step, steps_ = 0, struck_ = false; }
    void mend() { fault_ = Fault::none, at_ = -1; }
    long steps() const { return steps_; }
    bool struck() const { return struck_; }
    std::unique_ptr<Disk> disk();  // as a process sees it
    // What is there when the power is back: of each unsynced change some, or none.
    void restart(std::mt19937& chance);
    // What a killed process leaves: all that it wrote.
    void killed() { mend(); }
    void flip(const std::string& name, size_t at, unsigned char with) {
        files_.at(name)->bytes[at] = static_cast<char>(files_.at(name)->bytes[at] ^ with);
        files_.at(name)->synced = files_.at(name)->bytes;
    }
    std::map<std::string, std::string> contents() const {
        std::map<std::string, std::string> all;
        for (auto& [name, data] : files_) all[name] = data->bytes;
        return all;
    }
    void replace(const std::map<std::string, std::string>& all) {
        files_.clear();
        for (auto& [name, bytes] : all) {
            files_[name] = std::make_shared<Data>(Data{bytes, bytes});
        }
        durable_ = files_;
    }
    int64_t most = int64_t{1} << 40;  // bytes it holds

  private:
    struct Data {
        std::string bytes, synced;
    };
    friend class SimulatedFile;
    friend class SimulatedView;
    // Counts a change; says what happens to it.
    Fault step() {
        if (struck_ && fault_ == Fault::power) throw PowerLost();
        bool now = fault_ != Fault::none && steps_++ >= at_;
        if (fault_ == Fault::none) ++steps_;
        if (!now) return Fault::none;
        bool first = !std::exchange(struck_, true);
        if (fault_ == Fault::power) throw PowerLost();
        if (fault_ == Fault::shortWrite || fault_ == Fault::noSync) return first ? fault_ : Fault::none;
        return fault_;
    }
    int64_t held() const {
        int64_t sum = 0;
        for (auto& [name, data] : files_) sum += static_cast<int64_t>(data->bytes.size());
        return sum;
    }
    std::map<std::string, std::shared_ptr<Data>> files_, durable_;  // names as seen; as synced
    Fault fault_ = Fault::none;
    long at_ = -1, steps_ = 0;
    bool struck_ = false;
};

class SimulatedFile : public File {
  public:
    using Fault = SimulatedDisk::Fault;
    SimulatedFile(SimulatedDisk& disk, std::shared_ptr<SimulatedDisk::Data> data)
        : disk_(disk), data_(std::move(data)) {}
    int64_t read(int64_t at, char* to, size_t bytes) const override {
        if (at >= size()) return 0;
        size_t n = std::min(bytes, data_->bytes.size() - static_cast<size_t>(at));
        data_->bytes.copy(to, n, static_cast<size_t>(at));
        return static_cast<int64_t>(n);
    }
    Trouble append(std::string_view bytes) override {
        Fault fault = disk_.step();
        bool tooMuch = disk_.held() + static_cast<int64_t>(bytes.size()) > disk_.most;
        if (fault == Fault::none || fault == Fault::noSync) {
            if (!tooMuch) return data_->bytes += bytes, Trouble::none;
        }
        if (fault != Fault::broken) data_->bytes += bytes.substr(0, bytes.size() / 2);
        return fault == Fault::broken ? Trouble::broken : Trouble::full;
    }
    bool sync() override {
        Fault fault = disk_.step();
        if (fault == Fault::noSync || fault == Fault::broken) return false;
        data_->synced = data_->bytes;
        return true;
    }
    bool cut(int64_t bytes) override {
        if (disk_.step() == Fault::broken) return false;
        data_->bytes.resize(static_cast<size_t>(bytes));
        return true;
    }
    int64_t size() const override { return static_cast<int64_t>(data_->bytes.size()); }

  private:
    SimulatedDisk& disk_;
    std::shared_ptr<SimulatedDisk::Data> data_;
};

class SimulatedView : public Disk {
  public:
    using Fault = SimulatedDisk::Fault;
    explicit SimulatedView(SimulatedDisk& disk) : disk_(disk) {}
    std::vector<std::string> list() override {
        std::vector<std::string> names;
        for (auto& [name, data] : disk_.files_) names.push_back(name);
        return names;
    }
    std::unique_ptr<File> open(const std::string& name) override {
        auto found = disk_.files_.find(name);
        if (found == disk_.files_.end()) return nullptr;
        return std::make_unique<SimulatedFile>(disk_, found->second);
    }
    std::unique_ptr<File> create(const std::string& name, Trouble& trouble) override {
        Fault fault = disk_.step();
        trouble = fault == Fault::full ? Trouble::full : fault == Fault::broken ? Trouble::broken : Trouble::none;
        if (trouble != Trouble::none) return nullptr;
        auto data = std::make_shared<SimulatedDisk::Data>();
        disk_.files_[name] = data;
        return std::make_unique<SimulatedFile>(disk_, data);
    }
    bool rename(const std::string& from, const std::string& to) override {
        if (disk_.step() == Fault::broken) return false;
        disk_.files_[to] = disk_.files_.at(from);
        disk_.files_.erase(from);
        return true;
    }
    bool remove(const std::string& name) override {
        if (disk_.step() == Fault::broken) return false;
        return disk_.files_.erase(name) > 0;
    }
    bool syncFolder() override {
        Fault fault = disk_.step();
        if (fault == Fault::noSync || fault == Fault::broken) return false;
        disk_.durable_ = disk_.files_;
        return true;
    }
    bool setAside(const std::string& name, int64_t bytes) override {
        if (bytes == 0) return disk_.files_.erase(name) > 0;
        auto& data = disk_.files_.try_emplace(name, std::make_shared<SimulatedDisk::Data>()).first->second;
        auto had = static_cast<int64_t>(data->bytes.size());
        bool fits = disk_.step() == Fault::none && disk_.held() - had + bytes <= disk_.most;
        if (!fits) return disk_.files_.erase(name), false;
        data = std::make_shared<SimulatedDisk::Data>();
        data->bytes.assign(static_cast<size_t>(bytes), '\0');
        return true;
    }

  private:
    SimulatedDisk& disk_;
};

inline std::unique_ptr<Disk> SimulatedDisk::disk() { return std::make_unique<SimulatedView>(*this); }

inline void SimulatedDisk::restart(std::mt19937& chance) {
    // Names: each change since the folder was synced is kept or not, one by one.
    auto names = durable_;
    for (auto& [name, data] : files_) {
        if (chance() % 2 == 0) names[name] = data;
    }
    for (auto& [name, data] : durable_) {
        if (files_.count(name) == 0 && chance() % 2 == 0) names.erase(name);
    }
    for (auto& [name, data] : names) {
        // A file keeps what was synced; of the rest blocks of 512 bytes may come in any order, as zeros, or not.
        std::string now = data->bytes, kept = data->synced;
        if (now.compare(0, kept.size(), kept) != 0 || now.size() < kept.size()) kept = now;
        size_t end = kept.size() + (now.size() > kept.size() ? chance() % (now.size() - kept.size() + 1) : 0);
        std::string back = now.substr(0, end);
        for (size_t at = kept.size() / 512 * 512 + 512; at < end; at += 512) {
            if (chance() % 4 == 0) back.replace(at, std::min<size_t>(512, end - at), std::min<size_t>(512, end - at), '\0');
        }
        data = std::make_shared<Data>(Data{back, back});
    }
    files_ = durable_ = names;
    mend();
    struck_ = false;
}

}  // namespace petrelpond::store
