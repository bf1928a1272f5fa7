#include "http/endpointclientanswer.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace Lycheewall
{

namespace http = boost::beast::http;

namespace
{

/// Checks an answer's JSON without building it, and notes "documents".
class AnswerCheck : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override
    {
        return true;
    }
    bool boolean(bool /*value*/) override
    {
        return true;
    }
    bool number_integer(number_integer_t /*value*/) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        if (this->depth == 1 && this->lastKey == "documents") {
            this->documents = value;
            this->counted = true;
        }
        return true;
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return true;
    }
    bool string(string_t & /*value*/) override
    {
        return true;
    }
    bool binary(binary_t & /*value*/) override
    {
        return false;
    }
    bool start_object(std::size_t /*elements*/) override
    {
        return ++this->depth <= maxAnswerDepth;
    }
    bool key(string_t &name) override
    {
        if (this->depth == 1) {
            this->lastKey = name;
        }
        return true;
    }
    bool end_object() override
    {
        --this->depth;
        return true;
    }
    bool start_array(std::size_t /*elements*/) override
    {
        return ++this->depth <= maxAnswerDepth;
    }
    bool end_array() override
    {
        --this->depth;
        return true;
    }
    bool parse_error(std::size_t /*position*/,
                     const std::string & /*token*/,
                     const nlohmann::json::exception & /*problem*/) override
    {
        return false;
    }

    std::uint64_t documents = 0;
    bool counted = false;

private:
    int depth = 0;
    std::string lastKey;
};

std::size_t endOfString(std::string_view text, std::size_t position)
{
    for (++position; text[position] != '"'; ++position) {
        if (text[position] == '\\') {
            ++position;
        }
    }
    return position;
}

/// The text of the member "result" of a valid JSON object; empty when there is none.
std::string_view resultText(std::string_view text)
{
    constexpr std::string_view name = "\"result\"";
    int depth = 0;
    std::size_t start = 0;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char character = text[position];
        if (character == '"') {
            const std::size_t end = endOfString(text, position);
            const std::size_t next = text.find_first_not_of(" \t\r\n", end + 1);
            const bool isKey = depth == 1 && start == 0 && next != std::string_view::npos && text[next] == ':';
            if (isKey && text.substr(position, end + 1 - position) == name) {
                start = next + 1;
            }
            position = end;
            continue;
        }
        depth += character == '{' || character == '[' ? 1 : 0;
        depth -= character == '}' || character == ']' ? 1 : 0;
        const bool ends = (character == ',' && depth == 1) || depth == 0;
        if (start != 0 && ends) {
            return text.substr(start, position - start);
        }
    }
    return {};
}

bool plainText(const std::string &text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return character >= firstPrintable && character != deleteCharacter;
    });
}

void addHeader(std::string &text, std::string_view name, const std::string &value)
{
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
}

std::uint64_t numberOf(boost::beast::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

Refusal notRunReason(boost::beast::string_view code)
{
    if (code == "shed") {
        return Refusal::EndpointShed;
    }
    if (code == "draining") {
        return Refusal::EndpointDraining;
    }
    if (code == "version") {
        return Refusal::SnapshotUnavailable;
    }
    if (code == "cold") {
        return Refusal::EndpointCold;
    }
    if (code == "connections") {
        return Refusal::EndpointConnectionCap;
    }
    return Refusal::EndpointUnavailable;
}

}

std::string runRequestText(const EndpointRequest &request, const std::string &host, Duration remaining)
{
    constexpr std::size_t headerRoom = 400;
    const bool plain = plainText(request.request.value()) && plainText(request.organisation.value())
        && plainText(request.group.value());
    if (!plain) {
        return {};
    }
    std::string text;
    text.reserve(headerRoom + request.body.size());
    text += "POST /run HTTP/1.1\r\n";
    addHeader(text, "Host", host);
    addHeader(text, "Content-Type", "application/json");
    addHeader(text, "Content-Length", std::to_string(request.body.size()));
    addHeader(text, "Lycheewall-Request", request.request.value());
    addHeader(text, "Lycheewall-Attempt", std::to_string(request.attempt.value()));
    addHeader(text, "Lycheewall-Organisation", request.organisation.value());
    addHeader(text, "Lycheewall-Snapshot", std::to_string(request.snapshot.value()));
    addHeader(text, "Lycheewall-Shard", request.group.value());
    addHeader(text, "Lycheewall-Deadline-Ms", std::to_string(toMilliseconds(remaining)));
    text += "\r\n";
    text += request.body;
    return text;
}

std::string cancelRequestText(AttemptId attempt, const std::string &host)
{
    std::string text = "POST /cancel/" + std::to_string(attempt.value()) + " HTTP/1.1\r\n";
    addHeader(text, "Host", host);
    addHeader(text, "Content-Length", "0");
    text += "\r\n";
    return text;
}

EndpointAnswer readRunResponse(const http::response<http::string_body> &response)
{
    EndpointAnswer answer;
    answer.reason = Refusal::OutcomeUnknown;
    answer.incarnation = Incarnation(std::string(response["Lycheewall-Incarnation"]));
    const auto notRun = response.find("Lycheewall-Not-Run");
    if (response.result() == http::status::service_unavailable && notRun != response.end()) {
        answer.outcome = AttemptOutcome::NotRun;
        answer.reason = notRunReason(notRun->value());
        return answer;
    }
    if (response.result() != http::status::ok) {
        return answer;
    }
    AnswerCheck check;
    const std::string &body = response.body();
    if (!nlohmann::json::sax_parse(body, &check) || !check.counted || body.find('{') == std::string::npos) {
        return answer;
    }
    answer.body = std::string(resultText(body));
    if (answer.body.empty()) {
        return answer;
    }
    answer.outcome = AttemptOutcome::Answered;
    answer.reason = Refusal::None;
    answer.documents = check.documents;
    answer.snapshot = SnapshotVersion(numberOf(response["Lycheewall-Snapshot"]));
    answer.group = GroupId(std::string(response["Lycheewall-Shard"]));
    return answer;
}

}
