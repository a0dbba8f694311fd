#include "tests/unit/allocation_cost.h"

#include <gtest/gtest.h>

#include <cstdio>

//! The allocator with which the programs are linked.
namespace {

//! Runs the same allocations in a program that is linked with the C library only.
double cLibrarySeconds()
{
    double seconds = 0.0;
    std::FILE *output = popen(C_LIBRARY_PROGRAM, "r");
    if (!output)
        return 0.0;
    const int read = std::fscanf(output, "%lf", &seconds); // NOLINT(cert-err34-c)
    pclose(output);
    return read == 1 ? seconds : 0.0;
}

//! Guards against an owner that spends a quarter of its processor on allocation, falls behind in the bursts
//! of a large fleet and starts short jobs too late (comment-check on tichomer-ba-large, SHORT).
TEST(Allocation, MessagesOfALargeFleetTakeAtMostHalfTheTimeOfTheCLibrary)
{
    const double reference = cLibrarySeconds();
    ASSERT_GT(reference, 0.0);
    EXPECT_LE(almond::tests::leastAllocationSeconds(), reference / 2);
}

} // namespace
