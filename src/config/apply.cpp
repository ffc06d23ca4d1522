#include "config/apply.hpp"

#include "config/checked.hpp"
#include "config/validate.hpp"
#include "platform/check.hpp"

#include <optional>
#include <utility>

namespace lacewingquay::config
{

namespace
{

template <typename Map>
std::optional<std::uint64_t> epoch_in(const Map& objects, const std::string& name)
{
    const auto found = objects.find(name);
    return found == objects.end() ? std::nullopt
                                  : std::optional<std::uint64_t>(found->second.changed_epoch);
}

/// The epoch of the last change of an object, or nothing if it does not exist.
std::optional<std::uint64_t> changed_epoch(const configuration& head, const object_key& key)
{
    switch (key.kind)
    {
    case object_kind::service:
        return epoch_in(head.services, key.name);
    case object_kind::pool:
        return epoch_in(head.pools, key.name);
    case object_kind::host:
        return epoch_in(head.hosts, key.name);
    case object_kind::settings:
        return head.settings.changed_epoch;
    }
    return std::nullopt;
}

void put(configuration& next, const definition& object)
{
    struct visitor
    {
        configuration& next;

        void operator()(service value) const
        {
            value.changed_epoch = next.epoch;
            next.services.insert_or_assign(value.name, value);
        }
        void operator()(pool value) const
        {
            value.changed_epoch = next.epoch;
            next.pools.insert_or_assign(value.name, value);
        }
        void operator()(host value) const
        {
            value.changed_epoch = next.epoch;
            next.hosts.insert_or_assign(value.name, value);
        }
        void operator()(deployment_settings value) const
        {
            value.changed_epoch = next.epoch;
            next.settings = value;
        }
    };
    std::visit(visitor{next}, object);
}

void remove(configuration& next, const object_key& key)
{
    switch (key.kind)
    {
    case object_kind::service:
        next.services.erase(key.name);
        break;
    case object_kind::pool:
        next.pools.erase(key.name);
        break;
    case object_kind::host:
        next.hosts.erase(key.name);
        break;
    case object_kind::settings:
        break;
    }
}

/// Collects what stands against applying a note.
class objections
{
public:
    objections(const release_note& note, const configuration& head) : note_(note), head_(head) {}

    /// An entry of `added`.
    void check_added(const object_key& key)
    {
        const std::optional<std::uint64_t> epoch = changed_epoch(head_, key);
        if (epoch && *epoch > note_.base_epoch)
        {
            conflicts.push_back(key.text());
        }
        else if (epoch)
        {
            refuse("added: got '" + key.text() + "', expected an object that does not exist");
        }
    }

    /// An entry of `changed` or `withdrawn`.
    void check_existing(const object_key& key, const std::string& list)
    {
        const std::optional<std::uint64_t> epoch = changed_epoch(head_, key);
        if (epoch ? *epoch > note_.base_epoch : note_.base_epoch < head_.epoch)
        {
            conflicts.push_back(key.text());
        }
        else if (!epoch)
        {
            refuse(list + ": got '" + key.text() + "', expected an object that exists");
        }
    }

    std::vector<std::string> conflicts;
    std::string refusal;

private:
    void refuse(std::string reason)
    {
        if (refusal.empty())
        {
            refusal = std::move(reason);
        }
    }

    const release_note& note_;
    const configuration& head_;
};

std::string joined(const std::vector<std::string>& names)
{
    std::string text;
    for (const std::string& name : names)
    {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

std::optional<apply_result> objection(const release_note& note, const configuration& head)
{
    apply_result result;
    if (note.base_epoch > head.epoch)
    {
        result.reason = "base_epoch: got '" + std::to_string(note.base_epoch) +
                        "', expected at most " + std::to_string(head.epoch) +
                        ", the epoch in force";
        return result;
    }
    objections found(note, head);
    for (const definition& object : note.added)
    {
        found.check_added(key_of(object));
    }
    for (const definition& object : note.changed)
    {
        found.check_existing(key_of(object), "changed");
    }
    for (const object_key& key : note.withdrawn)
    {
        found.check_existing(key, "withdrawn");
    }
    if (!found.conflicts.empty())
    {
        result.status = apply_status::conflict;
        result.reason = "changed since epoch " + std::to_string(note.base_epoch) + ": " +
                        joined(found.conflicts);
        result.conflicts = std::move(found.conflicts);
        return result;
    }
    if (!found.refusal.empty())
    {
        result.reason = std::move(found.refusal);
        return result;
    }
    return std::nullopt;
}

} // namespace

apply_result apply(const release_note& note, const configuration& head)
{
    std::optional<apply_result> stopped = objection(note, head);
    if (stopped)
    {
        return std::move(*stopped);
    }
    apply_result result;
    result.next = head;
    result.next.epoch = head.epoch + 1;
    for (const object_key& key : note.withdrawn)
    {
        remove(result.next, key);
    }
    for (const definition& object : note.added)
    {
        put(result.next, object);
    }
    for (const definition& object : note.changed)
    {
        put(result.next, object);
    }
    result.reason = check_input(
                        [&]() -> boost::leaf::result<bool>
                        {
                            LACEWINGQUAY_CHECK(validate(result.next));
                            return true;
                        })
                        .refusal;
    result.status = result.reason.empty() ? apply_status::applied : apply_status::refused;
    return result;
}

std::chrono::milliseconds veto_window_of(const release_note& note, const configuration& head)
{
    if (head.epoch == 0)
    {
        for (const definition& object : note.changed)
        {
            if (const deployment_settings* declared = std::get_if<deployment_settings>(&object))
            {
                return declared->veto_window;
            }
        }
    }
    return head.settings.veto_window;
}

} // namespace lacewingquay::config
