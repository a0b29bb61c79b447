// The budget of bytes that all buffers of a process share.
#include "limits/memory_budget.h"

#include <memory>

#include "../silverrail/check.h"

using namespace silverrail::limits;

namespace {

void the_sum_of_all_reservations_is_bounded() {
    MemoryBudget budget{1000};
    MemoryReservation connection{budget, MemoryUse::client_connections};
    MemoryReservation response{budget, MemoryUse::server_responses};
    connection.resize(300);
    CHECK(response.try_resize(700) && budget.available() == 0);
    CHECK(!response.try_resize(701) && response.bytes() == 700);
    CHECK(budget.refusals(MemoryUse::server_responses) == 1);
    connection.resize(0);
    CHECK(response.try_resize(1000) && budget.in_use() == 1000);
}

// Otherwise requests could take the memory that the answers to them need.
void request_bodies_get_half_of_the_capacity() {
    MemoryBudget budget{1000};
    MemoryReservation body{budget, MemoryUse::request_bodies};
    CHECK(body.try_resize(500) && !body.try_resize(501));
    budget.set_capacity(600);
    CHECK(budget.excess(MemoryUse::request_bodies) == 200);
    CHECK(!body.try_resize(501) && body.try_resize(300) && budget.excess(MemoryUse::request_bodies) == 0);
}

void a_reservation_ends_with_its_owner() {
    MemoryBudget budget{1000};
    {
        MemoryReservation body{budget, MemoryUse::request_bodies};
        body.resize(400);
        CHECK(budget.in_use(MemoryUse::request_bodies) == 400);
    }
    CHECK(budget.in_use() == 0 && budget.take_peak() == 400 && budget.take_peak() == 0);
}

void what_is_held_already_may_exceed_a_lowered_capacity() {
    MemoryBudget budget;
    MemoryReservation response{budget, MemoryUse::client_responses};
    response.resize(5000);
    budget.set_capacity(1000);
    CHECK(budget.available() == 0 && budget.excess(MemoryUse::client_responses) == 4000);
    CHECK(!response.try_resize(5001) && response.try_resize(4999));
}

// Connections keep reservations until their last operation has ended, which may be later.
void an_empty_reservation_may_outlive_its_budget() {
    auto budget = std::make_unique<MemoryBudget>(1000);
    MemoryReservation body{*budget, MemoryUse::request_bodies};
    body.resize(10);
    body.resize(0);
    budget.reset();
}

}  // namespace

int main() {
    the_sum_of_all_reservations_is_bounded();
    request_bodies_get_half_of_the_capacity();
    a_reservation_ends_with_its_owner();
    what_is_held_already_may_exceed_a_lowered_capacity();
    an_empty_reservation_may_outlive_its_budget();
}
