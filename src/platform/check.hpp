#pragma once

#include <boost/leaf.hpp>

/// Returns the error of a `leaf::result`, if it has one, from the calling function.
/// BOOST_LEAF_CHECK is a GNU statement expression, which clang-tidy refuses under -Wpedantic.
#define LACEWINGQUAY_CHECK(result)                                                                 \
    do                                                                                             \
    {                                                                                              \
        if (auto&& lacewingquay_checked = (result); !lacewingquay_checked)                         \
        {                                                                                          \
            return lacewingquay_checked.error();                                                   \
        }                                                                                          \
    } while (false)
