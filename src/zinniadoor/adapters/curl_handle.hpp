#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <curl/curl.h>

#include "zinniadoor/ports/endpoint_client.hpp"

namespace zinniadoor::adapters::detail {

struct CurlDeleter
{
    void operator()(CURL *easy) const { curl_easy_cleanup(easy); }
    void operator()(curl_slist *list) const { curl_slist_free_all(list); }
};

using CurlHandle = std::unique_ptr<CURL, CurlDeleter>;
using CurlHeaders = std::unique_ptr<curl_slist, CurlDeleter>;

/// Initialises libcurl for the process; further calls do nothing.
void initializeCurl();

/// Creates an easy handle for plain HTTP/1.1 without redirects, proxy and signals, with TCP
/// keepalive.
CurlHandle createHttpHandle();

/// State of the single attempt that a request is allowed.
struct Attempt
{
    bool started = false; ///< Set just before the first byte may be sent.
    std::function<void()> onConnected; ///< Optional; called after connecting and before sending.
};

/// Aborts the transfer if libcurl retries the request. `attempt` must outlive the transfer.
void forbidRetry(CURL *easy, Attempt *attempt);

/// Reason text of a response whose connection was closed within its head.
constexpr char CutHeadText[] = "the connection was closed within the head of the response";

/// Sets `complete` once the head of the final response has been received to its end. libcurl
/// reports success without it. `complete` must outlive the transfer.
void watchHead(CURL *easy, bool *complete);

/// Sets method and body. `body` is not copied and must outlive the transfer.
void setRequest(CURL *easy, const std::string &method, const std::string &body);

/// Converts headers to a libcurl list, leaving out connection and framing headers.
CurlHeaders headerList(const std::vector<ports::HttpHeader> &headers);

/// Returns false if a name or value could inject another header line.
bool validHeaders(const std::vector<ports::HttpHeader> &headers);

} // namespace zinniadoor::adapters::detail
