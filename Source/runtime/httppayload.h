#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>

namespace Lycheewall
{

/// Sets the header fields that describe the body. The response to a HEAD request keeps them and has no body. Thread
/// safety: any thread.
void preparePayload(boost::beast::http::response<boost::beast::http::string_body> &message,
                    boost::beast::http::verb requestMethod);

}
