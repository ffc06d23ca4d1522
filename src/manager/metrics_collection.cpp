#include "manager/metrics_collection.hpp"

namespace lacewingquay::manager
{

void collect_metrics(context& shared, owner_session* owner, bool is_ready)
{
    metrics& daemon_metrics = shared.daemon_metrics;
    const adapter::store_counters& store = shared.store.counters();
    daemon_metrics.set_total("lacewingquay_store_commits_total", "Transactions sent to the store.",
                             store.commits);
    daemon_metrics.set_total("lacewingquay_store_reads_total", "Reads sent to the store.",
                             store.reads);
    daemon_metrics.set_total("lacewingquay_store_failures_total",
                             "Calls to the store that were refused or not answered.",
                             store.failures);
    daemon_metrics.set_total("lacewingquay_store_bytes_total",
                             "Bytes of bodies written to and read from the store.", store.bytes);
    daemon_metrics.set_total("lacewingquay_connections_total",
                             "Connections opened to the store, servers and machine service.",
                             shared.connections.opened());
    daemon_metrics.set("lacewingquay_jobs_known", "Jobs that this host can show to callers.",
                       static_cast<double>(shared.jobs.size()));
    daemon_metrics.set("lacewingquay_ready", "1 while this host takes callers.", is_ready ? 1 : 0);
    const bool owns = owner != nullptr && !owner->ended();
    daemon_metrics.set("lacewingquay_owner", "1 while this host schedules.", owns ? 1 : 0);
    daemon_metrics.set("lacewingquay_owner_term", "Newest known term of ownership.",
                       static_cast<double>(shared.owner.row().term));
    if (owns)
    {
        const session_counters& work = owner->counters();
        daemon_metrics.set("lacewingquay_session_starts", "Orders to start in this term.",
                           static_cast<double>(work.starts));
        daemon_metrics.set("lacewingquay_session_stops", "Orders to stop in this term.",
                           static_cast<double>(work.stops));
        daemon_metrics.set("lacewingquay_session_repeated_stops",
                           "Orders to stop in this term that repeat an earlier one.",
                           static_cast<double>(work.repeated_stops));
        daemon_metrics.set("lacewingquay_session_unanswered_stops",
                           "Orders to stop in this term that were not answered.",
                           static_cast<double>(work.unanswered_stops));
        daemon_metrics.set("lacewingquay_session_looks", "Looks at servers in this term.",
                           static_cast<double>(work.polls));
        daemon_metrics.set("lacewingquay_jobs_age_seconds",
                           "Age of what the owner has read of callers' jobs.",
                           std::chrono::duration<double>(owner->jobs_age()).count());
        daemon_metrics.set("lacewingquay_active_jobs", "Jobs that are not finished.",
                           static_cast<double>(owner->job_scheduler().active_jobs()));
    }
}

} // namespace lacewingquay::manager
