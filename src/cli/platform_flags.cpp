#include "cli/platform_flags.hpp"

#include "core/clock.hpp"

#include <chrono>

namespace lacewingquay::cli
{

namespace leaf = boost::leaf;

void add_platform_flags(option_set& options)
{
    options.add("platform", "127.0.0.1:7100", "address of the platform, IP:PORT");
    options.add("timeout", "2s", "limit for one request to the platform");
}

void add_common_flags(option_set& options)
{
    add_platform_flags(options);
    options.add_switch("json", "print JSON");
}

leaf::result<common_flags> read_common_flags(const option_set& options)
{
    common_flags flags;
    flags.platform.node = "operator";
    BOOST_LEAF_ASSIGN(flags.platform.platform, options.endpoint("platform"));
    BOOST_LEAF_ASSIGN(flags.platform.timeout,
                      options.duration("timeout", milliseconds{10}, std::chrono::minutes{1}));
    flags.as_json = options.is_set("json");
    return flags;
}

int platform_unavailable(const common_flags& flags)
{
    std::cerr << "unavailable: the platform at " << flags.platform.platform.text()
              << " cannot be reached or answers something unreadable; check --platform and try "
                 "again\n";
    return exit_failure;
}

} // namespace lacewingquay::cli
