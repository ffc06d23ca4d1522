#define CATCH_CONFIG_RUNNER
#include "core/log.hpp"

#include <catch2/catch.hpp>

int main(int argc, char** argv)
{
    // Properties play thousands of runs; their decisions would fill the output.
    lacewingquay::set_up_log("tests", lacewingquay::log_level::error);
    return Catch::Session().run(argc, argv);
}
