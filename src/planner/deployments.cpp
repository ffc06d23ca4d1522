#include "planner/deployments.hpp"

#include "core/error.hpp"

namespace lacewingquay::planner
{

namespace leaf = boost::leaf;

namespace
{

measured_deployment make_deployment(std::vector<generated_service> services, std::int64_t zones,
                                    const config::weights& weights)
{
    constexpr std::int64_t default_min_hosts = 3;
    measured_deployment result;
    result.generator.zones = zones;
    result.evaluated.cost_weights = weights;
    for (const generated_service& service : services)
    {
        config::pool pool;
        pool.name = service.name;
        pool.min_hosts = default_min_hosts;
        pool.spare = service.name == services.back().name;
        result.evaluated.pools[service.name] = pool;
    }
    result.generator.services = std::move(services);
    return result;
}

} // namespace

leaf::result<measured_deployment> deployment_named(std::string_view name)
{
    if (name == "finland")
    {
        return make_deployment({{"certificate_lookup", 12, 0.28, 0.3},
                                {"batch_stamping", 10, 0.28, 0.3},
                                {"import_desk", 10, 0.28, 0.25},
                                {"kitchen_certification", 10, 0.26, 0.3},
                                {"clerical", 8, 0.25, 0.2}},
                               3, config::weights{20.0, 1.0, 0.0002});
    }
    if (name == "wales")
    {
        return make_deployment({{"gift_shop", 12, 0.28, 0.35},
                                {"schools", 10, 0.26, 0.35},
                                {"renewals", 10, 0.28, 0.25},
                                {"donor_relations", 10, 0.26, 0.3},
                                {"shared_support", 8, 0.25, 0.2}},
                               4, config::weights{10.0, 2.0, 0.0004});
    }
    return leaf::new_error(input_error{"--deployment", std::string(name), "finland or wales"});
}

} // namespace lacewingquay::planner
