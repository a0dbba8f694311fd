#pragma once

//! Names of the calls between the owner and its relays.
namespace almond::relay::calls {

//! From a host to the owner: {"address", "processorShare"}; the response is {"wanted"}.
inline constexpr const char *offer = "relay.offer";
//! From the owner to a relay: {"owner", "orders"}; the immediate response only confirms receipt.
inline constexpr const char *orders = "relay.orders";
//! From a relay to the owner: {"answers"}; the immediate response only confirms receipt.
inline constexpr const char *responses = "relay.answers";

} // namespace almond::relay::calls
