#pragma once

#include "core/result.h"
#include "forwarding/shardrelay.h"

namespace Lycheewall
{

/// A relay request in the form in which it is sent to the other instance. Never contains the caller's API key.
struct RelayRequest
{
    /// Chosen by the requesting instance; responses contain it.
    std::uint64_t id = 0;
    /// Peer address to which responses are sent.
    std::string replyAddress;
    std::uint64_t tableVersion = 0;
    std::string route;
    std::vector<ServiceId> services;
    OrganisationId organisation;
    RequestMessage message;
    /// Milliseconds since the request arrived, and until its deadline.
    std::int64_t elapsedMs = 0;
    std::int64_t remainingMs = 0;
};

enum class RelayMessageError { NotCbor = 1, FieldMissing };
std::error_code make_error_code(RelayMessageError error);

std::string encodeRelayRequest(const RelayRequest &request);
/// Errors: RelayMessageError.
Result<RelayRequest> decodeRelayRequest(const std::string &bytes);

/// Cancels the relay request with this reply address and id.
struct RelayCancel
{
    std::string replyAddress;
    std::uint64_t id = 0;
};
std::string encodeRelayCancel(const RelayCancel &cancel);
/// Errors: RelayMessageError.
Result<RelayCancel> decodeRelayCancel(const std::string &bytes);

std::string encodeRelayResponse(std::uint64_t id, const RelayResponse &response);
/// Returns the id of the relay request and the response. Errors: RelayMessageError.
Result<std::pair<std::uint64_t, RelayResponse>> decodeRelayResponse(const std::string &bytes);

}

namespace std
{
template<> struct is_error_code_enum<Lycheewall::RelayMessageError> : true_type
{
};
}
