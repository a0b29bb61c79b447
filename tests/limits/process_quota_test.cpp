// Process quotas over the usual range of limits.
#include "limits/process_quota.h"

#include <initializer_list>

#include "../silverrail/check.h"

using namespace silverrail::limits;

namespace {

void the_quotas_of_all_processes_stay_within_the_limits_of_the_router() {
    for (const std::size_t descriptors : {128U, 192U, 256U, 384U, 512U, 1024U}) {
        for (const bool control : {false, true}) {
            const RouterLimits limits{
                .descriptors = descriptors, .memory_bytes = 32U << 20, .control_address = control};
            for (const std::size_t processes : {1U, 2U}) {
                const auto quota = quota_of(limits, processes);
                const std::size_t each = kFixedDescriptors + quota.client_connections +
                                         quota.server_connections +
                                         (control ? quota.control_connections + 1 : 0);
                CHECK(each * processes <= descriptors);
                CHECK(quota.client_connections >= 8 && quota.server_connections >= 8);
                CHECK((quota.control_connections > 0) == control);
                CHECK(quota.cache_bytes * processes <= limits.memory_bytes / 8);
            }
            // A single process can accept all connections that the platform's clients may open, at the usual
            // limits.
            if (descriptors >= 256)
                CHECK(quota_of(limits, 1).client_connections >= descriptors / 3 + 24);
        }
    }
}

}  // namespace

int main() {
    the_quotas_of_all_processes_stay_within_the_limits_of_the_router();
    std::puts("process quota: all cases passed");
}
