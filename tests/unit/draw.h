#pragma once

#include <rapidcheck.h>

namespace almond::tests {

//! Generates a uniformly distributed number from \a minimum to below \a end. RapidCheck's inRange() alone
//! narrows its range in the early cases of a property, so that the last choices of a list are hardly ever
//! generated.
template<typename T>
T draw(T minimum, T end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(minimum, end));
}

} // namespace almond::tests
