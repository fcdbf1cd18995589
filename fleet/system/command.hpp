// `petrelfleet system`: plays of the whole system.
#pragma once

#include <memory>
#include <optional>

namespace CLI {
class App;
}

namespace petrelpond::range {

class Command {
  public:
    explicit Command(CLI::App& app);  // adds its subcommands
    ~Command();
    std::optional<int> run();  // the exit code; nothing where another subcommand was given

  private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

}  // namespace petrelpond::range
