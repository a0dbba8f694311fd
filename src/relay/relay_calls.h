#pragma once

//! Names of the calls between an owner and the hosts that carry its orders.
namespace almond::relay::calls {

//! From a host to the owner: {"address", "processorShare"}; answered with {"wanted"}.
inline constexpr const char *offer = "relay.offer";
//! From the owner to a host: {"owner", "orders"}; answered at once, as a receipt.
inline constexpr const char *orders = "relay.orders";
//! From a host to the owner: {"answers"}; answered at once.
inline constexpr const char *answers = "relay.answers";

} // namespace almond::relay::calls
