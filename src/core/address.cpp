#include "core/address.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace lacewingquay
{

boost::leaf::result<address> parse_address(std::string_view text, std::string_view where)
{
    const auto refuse = [&]
    {
        return boost::leaf::new_error(input_error{std::string(where), std::string(text),
                                                  "IP:PORT, for example 127.0.0.1:7001"});
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return refuse();
    }
    const std::string ip(text.substr(0, colon));
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(ip, error);
    if (error)
    {
        return refuse();
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const std::from_chars_result parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size() || port == 0)
    {
        return refuse();
    }
    return address{ip, port};
}

} // namespace lacewingquay
