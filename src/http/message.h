#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace almond::http {

using status = boost::beast::http::status;
using verb = boost::beast::http::verb;
using field = boost::beast::http::field;
using request = boost::beast::http::request<boost::beast::http::string_body>;
using response = boost::beast::http::response<boost::beast::http::string_body>;

//! How a server ends an exchange. All but send exist for stand-ins that imitate failing peers.
enum class reply_action { send, dropConnection, truncate };

//! A handler's answer.
struct reply
{
    response message;
    reply_action action = reply_action::send;
};

//! Returns an answer with \a body of the media type \a type.
reply makeReply(status code, std::string body, std::string_view type = "text/plain");
//! Returns an answer with \a body as JSON.
reply makeJsonReply(status code, const nlohmann::json &body);
//! Returns a JSON answer {"error": message}.
reply makeErrorReply(status code, std::string_view message);

//! Returns the header \a name, or an empty view.
inline std::string_view header(const request &message, std::string_view name)
{
    const auto found = message.find({name.data(), name.size()});
    return found == message.end() ? std::string_view()
                                  : std::string_view(found->value().data(), found->value().size());
}
//! \copydoc header
inline std::string_view header(const response &message, std::string_view name)
{
    const auto found = message.find({name.data(), name.size()});
    return found == message.end() ? std::string_view()
                                  : std::string_view(found->value().data(), found->value().size());
}

//! The path and query of \a message's target.
struct target_parts
{
    std::string_view path;
    std::string_view query;
};

//! Splits a target at its question mark.
target_parts splitTarget(std::string_view target);

//! Returns the decoded query parameter \a name, or an empty string.
std::string queryParameter(std::string_view query, std::string_view name);

} // namespace almond::http
