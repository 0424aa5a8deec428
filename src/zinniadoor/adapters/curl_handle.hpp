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

/// Sets up libcurl for the process, once.
void initializeCurl();

/// An easy handle for plain HTTP/1.1: no redirects, no proxy, no signals, keepalive on.
CurlHandle createHttpHandle();

/// The only attempt at a request.
struct Attempt
{
    bool started = false; ///< Turns true just before the first byte could be sent.
    std::function<void()> onConnected; ///< If set, called before that with the connection open.
};

/// Lets at most one attempt at a request leave through the handle. `attempt` has to outlive the
/// transfer.
void forbidRetry(CURL *easy, Attempt *attempt);

/// Sets method and body. `body` is not copied.
void setRequest(CURL *easy, const std::string &method, const std::string &body);

/// Header list in libcurl's form, without headers that belong to the connection.
CurlHeaders headerList(const std::vector<ports::HttpHeader> &headers);

/// False for names and values that would break out of their line.
bool validHeaders(const std::vector<ports::HttpHeader> &headers);

} // namespace zinniadoor::adapters::detail
