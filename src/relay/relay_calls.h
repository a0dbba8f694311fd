#pragma once

//! Names of the calls between the owner and its relays.
namespace almond::relay::calls {

//! Format of the orders and responses. An owner takes no offer of a host with another one, and the calls of
//! another format have other names: during an update orders between the two go directly.
inline constexpr int format = 4;

//! From a host to the owner: {"address", "processorShare", "format"}; the response is {"wanted",
//! "nextOfferMs"}.
inline constexpr const char *offer = "relay.offer";
//! From the owner to a relay: {"owner", "process", "sentAt", "orders"}; the immediate response only confirms
//! receipt. "orders" is a binary string with the packed orders as rows. "sentAt" and the end of a start's
//! permission are times on the clock of the owner's "process", in milliseconds.
inline constexpr const char *orders = "relay.orders.4";
//! From a relay to the owner: {"address", "answers"}; the immediate response only confirms receipt. "answers"
//! is a binary string with the packed responses as rows.
inline constexpr const char *responses = "relay.answers.4";

} // namespace almond::relay::calls
