#pragma once

#include "config/model.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace lacewingquay::config
{

/// What a release note can change.
enum class object_kind : std::uint8_t
{
    service,
    pool,
    host,
    /// The one `deployment_settings`; its name is `settings`.
    settings
};

[[nodiscard]] constexpr std::string_view to_string(object_kind kind)
{
    switch (kind)
    {
    case object_kind::service:
        return "service";
    case object_kind::pool:
        return "pool";
    case object_kind::host:
        return "host";
    case object_kind::settings:
        return "settings";
    }
    return "settings";
}

inline constexpr std::string_view settings_name = "settings";

/// Names one object of a configuration.
struct object_key
{
    object_kind kind = object_kind::service;
    std::string name;

    /// For messages, for example `pool 'clerical'`.
    [[nodiscard]] std::string text() const
    {
        return std::string(to_string(kind)) + " '" + name + "'";
    }

    friend bool operator==(const object_key&, const object_key&) = default;
    friend bool operator<(const object_key& left, const object_key& right)
    {
        return std::tie(left.kind, left.name) < std::tie(right.kind, right.name);
    }
};

/// A complete new definition of an object.
using definition = std::variant<service, pool, host, deployment_settings>;

[[nodiscard]] inline object_key key_of(const definition& object)
{
    struct visitor
    {
        object_key operator()(const service& value) const
        {
            return {object_kind::service, value.name};
        }
        object_key operator()(const pool& value) const { return {object_kind::pool, value.name}; }
        object_key operator()(const host& value) const { return {object_kind::host, value.name}; }
        object_key operator()(const deployment_settings&) const
        {
            return {object_kind::settings, std::string(settings_name)};
        }
    };
    return std::visit(visitor{}, object);
}

/// What an operator wants to add, change and withdraw. `changed_epoch` of its definitions is 0.
struct release_note
{
    std::string id;
    /// Epoch of the configuration that the operator looked at; 0 for the first note.
    std::uint64_t base_epoch = 0;
    std::string author;
    std::string reason;
    std::vector<definition> added;
    std::vector<definition> changed;
    std::vector<object_key> withdrawn;
};

} // namespace lacewingquay::config
