// The single translation unit that compiles Asio and Beast; see CMakeLists.txt.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
