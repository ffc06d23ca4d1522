#include "cli/command.hpp"

#include "cli/options.hpp"

#include <iomanip>
#include <iostream>

namespace lacewingquay::cli
{

namespace
{

void print_overview(std::ostream& out, std::string_view program, std::span<const command> commands)
{
    out << "Usage: " << program << " COMMAND [flags]\n\nCommands:\n";
    for (const command& entry : commands)
    {
        out << "  " << std::left << std::setw(18) << entry.name << entry.summary << "\n";
    }
    out << "\n'" << program << " COMMAND --help' lists the flags of a command.\n";
}

/// Number of words of `name` if the arguments start with them, else 0.
std::size_t matched_words(std::string_view name, std::span<const std::string> arguments)
{
    std::size_t count = 0;
    while (!name.empty())
    {
        const std::size_t blank = name.find(' ');
        const std::string_view word = name.substr(0, blank);
        if (count >= arguments.size() || arguments[count] != word)
        {
            return 0;
        }
        ++count;
        name = blank == std::string_view::npos ? std::string_view() : name.substr(blank + 1);
    }
    return count;
}

} // namespace

int dispatch_command(std::string_view program, std::span<const command> commands,
                     std::span<const std::string> arguments)
{
    if (arguments.empty() || arguments.front() == "--help" || arguments.front() == "help")
    {
        print_overview(std::cout, program, commands);
        return arguments.empty() ? exit_usage : exit_ok;
    }
    for (const command& entry : commands)
    {
        const std::size_t words = matched_words(entry.name, arguments);
        if (words > 0)
        {
            return entry.run(arguments.subspan(words));
        }
    }
    std::cerr << program << ": unknown command '" << arguments.front() << "'\n\n";
    print_overview(std::cerr, program, commands);
    return exit_usage;
}

} // namespace lacewingquay::cli
