#include "runtime/httppayload.h"

namespace Lycheewall
{

void preparePayload(boost::beast::http::response<boost::beast::http::string_body> &message,
                    boost::beast::http::verb requestMethod)
{
    message.prepare_payload();
    if (requestMethod == boost::beast::http::verb::head) {
        message.body().clear();
    }
}

}
