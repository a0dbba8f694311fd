#include "tests/unit/allocation_cost.h"

#include <iostream>

//! Prints what the allocations cost with the allocator of the C library, in seconds.
int main()
{
    std::cout << almond::tests::leastAllocationSeconds() << "\n";
}
