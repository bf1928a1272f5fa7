#pragma once

#include "core/result.h"
#include "forwarding/shardrelay.h"

namespace Lycheewall
{

/// A question to collect parts, as it crosses the wire. The caller's key never does.
struct RelayRequest
{
    /// Chosen by the asking instance; answers carry it.
    std::uint64_t id = 0;
    /// Where answers go.
    std::string replyAddress;
    std::uint64_t tableVersion = 0;
    std::string route;
    std::vector<ServiceId> services;
    OrganisationId organisation;
    RequestMessage message;
    /// Time since the request arrived, and until its deadline.
    std::int64_t elapsedMs = 0;
    std::int64_t remainingMs = 0;
};

enum class RelayMessageError { NotCbor = 1, FieldMissing };
std::error_code make_error_code(RelayMessageError error);

std::string encodeRelayRequest(const RelayRequest &question);
/// Errors: RelayMessageError.
Result<RelayRequest> decodeRelayRequest(const std::string &bytes);

/// Cancels a question.
struct RelayCancel
{
    std::string replyAddress;
    std::uint64_t id = 0;
};
std::string encodeRelayCancel(const RelayCancel &cancel);
/// Errors: RelayMessageError.
Result<RelayCancel> decodeRelayCancel(const std::string &bytes);

std::string encodeRelayResponse(std::uint64_t id, const RelayResponse &answer);
/// The id of the question and the answer. Errors: RelayMessageError.
Result<std::pair<std::uint64_t, RelayResponse>> decodeRelayResponse(const std::string &bytes);

}

namespace std
{
template<> struct is_error_code_enum<Lycheewall::RelayMessageError> : true_type
{
};
}
