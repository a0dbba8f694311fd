#pragma once

#include <rapidcheck.h>

namespace almond::tests {

//! Draws a number from \a minimum to below \a end, evenly. Plain inRange() shrinks its range in the early
//! cases of a property, so that the last choices of a list hardly ever come up.
template<typename T>
T draw(T minimum, T end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(minimum, end));
}

} // namespace almond::tests
