#include "cli/command.hpp"
#include "standins/backend.hpp"
#include "standins/platform.hpp"

#include <array>
#include <string>
#include <vector>

int main(int argc, char** argv)
{
    using lacewingquay::cli::command;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    constexpr std::array<command, 2> commands{
        {{"platform", "table service, object store and host list",
          lacewingquay::standins::run_platform},
         {"backend", "backend server", lacewingquay::standins::run_backend}}};
    return lacewingquay::cli::dispatch_command("lacewingquay_standins", commands, arguments);
}
