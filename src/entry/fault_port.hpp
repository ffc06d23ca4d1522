#pragma once

#include "platform/port.hpp"

namespace lacewingquay::entry
{

/// Fault injection: passes everything on to another port until it is cut; then nothing is sent and
/// every call reports that the platform cannot be reached.
class fault_port final : public platform::port
{
public:
    explicit fault_port(platform::port& target) : target_(target) {}

    void cut(bool is_cut) { cut_ = is_cut; }

    [[nodiscard]] bool is_cut() const { return cut_; }

    boost::asio::awaitable<platform::row_result> read_row(std::string key,
                                                          std::uint64_t not_version) override;
    boost::asio::awaitable<platform::rows_result> read_rows(std::string prefix) override;
    boost::asio::awaitable<platform::transact_result>
    transact(platform::transaction changes) override;
    boost::asio::awaitable<platform::object_result> read_object(std::string key) override;
    boost::asio::awaitable<bool> write_object(std::string key, std::string body) override;
    boost::asio::awaitable<platform::hosts_result> list_hosts() override;
    boost::asio::awaitable<platform::reboot_status> reboot(std::string host,
                                                           std::string reboot_id) override;

private:
    platform::port& target_;
    bool cut_ = false;
};

} // namespace lacewingquay::entry
