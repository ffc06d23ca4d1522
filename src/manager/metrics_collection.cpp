#include "manager/metrics_collection.hpp"

namespace lacewingquay::manager
{

void collect_metrics(context& shared, session* owner, bool is_ready)
{
    metrics& measured = shared.measured;
    const adapter::store_counters& store = shared.store.counters();
    measured.set_total("lacewingquay_store_commits_total", "Transactions sent to the store.",
                       store.commits);
    measured.set_total("lacewingquay_store_reads_total", "Reads sent to the store.", store.reads);
    measured.set_total("lacewingquay_store_failures_total",
                       "Calls to the store that were refused or not answered.", store.failures);
    measured.set_total("lacewingquay_store_bytes_total",
                       "Bytes of message bodies exchanged with the store.", store.bytes);
    measured.set_total("lacewingquay_connections_total",
                       "Connections opened to the store, servers and machine service.",
                       shared.connections.opened());
    measured.set("lacewingquay_jobs_known", "Jobs in this host's state cache.",
                 static_cast<double>(shared.jobs.size()));
    measured.set("lacewingquay_ready", "1 while this host is ready for callers.", is_ready ? 1 : 0);
    const bool owns = owner != nullptr && !owner->ended();
    measured.set("lacewingquay_owner", "1 while this host owns scheduling.", owns ? 1 : 0);
    measured.set("lacewingquay_owner_term", "Latest known term of ownership.",
                 static_cast<double>(shared.owner.row().term));
    if (owns)
    {
        const session_counters& work = owner->counters();
        measured.set("lacewingquay_session_starts", "Start orders sent in this term.",
                     static_cast<double>(work.starts));
        measured.set("lacewingquay_session_stops", "Stop orders sent in this term.",
                     static_cast<double>(work.stops));
        measured.set("lacewingquay_session_looks", "Polls of backend servers in this term.",
                     static_cast<double>(work.looks));
        measured.set("lacewingquay_active_jobs", "Jobs that are not finished.",
                     static_cast<double>(owner->plan().active_jobs()));
    }
}

} // namespace lacewingquay::manager
